#include "oleanderhall/register/registerparser.h"

#include "oleanderhall/core/errors.h"

#include "../support/registers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;

namespace {

class RegisterParserTest
{
protected:
    std::string hosts = R"({"schema":1,"hosts":[
        {"id":"h1","zone":"z","rack":"r","pool":"p","address":"127.0.0.1","cores":1,"memoryGb":1},
        {"id":"h2","zone":"z","rack":"r","pool":"p","address":"127.0.0.2","cores":1,"memoryGb":1}]})";
    std::string rules = R"({"schema":1,
        "pools":[{"id":"p","minAvailable":1,"maxUnavailable":1}],
        "services":[{"id":"s","pool":"p","instances":1,"port":7000,"slots":8,"connections":64}]})";

    Register parse() { return parseRegister({"register", hosts}, {"rules", rules}); }

    std::vector<std::string> locations()
    {
        try {
            parse();
        } catch (const InvalidDocument &error) {
            std::vector<std::string> result;
            for (const Finding &finding : error.findings().items())
                result.push_back(finding.file + finding.location);
            return result;
        }
        return {};
    }

    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        text.replace(text.find(from), from.size(), to);
    }
};

} // namespace

TEST_CASE_METHOD(RegisterParserTest, "parseRegister: valid documents: all items are there")
{
    const Register result = parse();
    CHECK(result.hosts.size() == 2);
    CHECK(result.pools.at(PoolId("p")).minAvailable == 1);
    CHECK(result.services.at(ServiceId("s")).port == 7000);
}

TEST_CASE_METHOD(RegisterParserTest, "parseRegister: faults in both documents: all are reported")
{
    replace(hosts, "\"127.0.0.1\"", "\"nowhere\"");
    replace(hosts, "\"id\":\"h2\"", "\"id\":\"h1\"");
    replace(rules, "\"port\":7000", "\"port\":0");
    replace(rules, "\"slots\":8", "\"slots\":8,\"colour\":1");
    const std::vector<std::string> expected{"register/hosts/0/address", "register/hosts/1/id",
                                            "rules/services/0/colour", "rules/services/0/port"};
    CHECK(locations() == expected);
}

TEST_CASE_METHOD(RegisterParserTest, "parseRegister: a budget that allows no wave: is a finding")
{
    replace(rules, "\"minAvailable\":1", "\"minAvailable\":2");
    CHECK(locations() == std::vector<std::string>{"rules/pools/p/minAvailable"});
}

TEST_CASE_METHOD(RegisterParserTest, "parseRegister: a port used by two services: is a finding")
{
    replace(rules, "\"services\":[",
            R"("services":[{"id":"t","pool":"p","instances":1,"port":7000,"slots":8,
               "connections":64},)");
    CHECK(locations() == std::vector<std::string>{"rules/services/t/port"});
}

TEST_CASE_METHOD(RegisterParserTest, "parseRegister: text that is not JSON: is refused by name")
{
    hosts = "{";
    CHECK(locations() == std::vector<std::string>{"register"});
}

TEST_CASE("checkTransition: a port that passes to another service: is a finding")
{
    const Register before = test::smallRegister();
    Register after = before;
    after.services.at(ServiceId("alpha")).port = 7002;
    after.services.at(ServiceId("beta")).port = 7001;
    FindingList findings;
    checkTransition(before, after, findings);
    CHECK(findings.items().size() == 2);
}

TEST_CASE("difference: any edit of a register: the patch restores the edited register")
{
    rc::prop("applyPatch(before, difference(before, after)) == after", [] {
        Register before = test::smallRegister();
        Register after = before;
        for (const auto &[id, host] : before.hosts) {
            const int edit = *rc::gen::inRange(0, 4);
            if (edit == 0)
                after.hosts.erase(id);
            else if (edit == 1)
                after.hosts.at(id).pool = PoolId(*rc::gen::element<std::string>("a", "b"));
        }
        after.wave.firstBatch = *rc::gen::inRange(1, 5);
        const RegisterPatch patch = difference(before, after);
        FindingList findings;
        const auto json = toJson(patch);
        const RegisterPatch parsed = parseRegisterPatch(JsonCursor(json, "patch", "", findings));
        RC_ASSERT(findings.empty());
        RC_ASSERT(parsed == patch);
        applyPatch(before, parsed);
        applyPatch(before, parsed);
        RC_ASSERT(before == after);
    });
}

TEST_CASE_METHOD(RegisterParserTest,
                 "parseRegister: mutated documents: a register or findings, nothing else")
{
    rc::prop("no other exception escapes", [this] {
        std::string text = *rc::gen::element(hosts, rules);
        const int edits = *rc::gen::inRange(1, 6);
        for (int edit = 0; edit < edits; ++edit) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
        }
        try {
            const Register result = parseRegister({"register", text}, {"rules", rules});
            FindingList findings;
            checkRegister(result, "rules", findings);
            RC_ASSERT(findings.empty());
        } catch (const InvalidDocument &error) {
            RC_ASSERT(!error.findings().empty());
        }
    });
}
