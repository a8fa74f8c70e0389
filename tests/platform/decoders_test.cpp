// Guards against crashes and false workers, waves or jobs from messages of the platform and other
// programs: a malformed message is rejected with an exception or a finding.
#include "../../platform/callermessages.h"
#include "../../platform/configuration.h"
#include "../../platform/discovery.h"
#include "../../platform/jsonfields.h"
#include "../../platform/wavemessages.h"
#include "../../platform/workerclient.h"

#include "oleanderhall/teams/teamdirectory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderhall;
using namespace oleanderhall::platform;

namespace {

const std::string kWorkerAddress = "10.128.0.9:8080";
const std::string kWorkerEntry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":8,)"
    R"("state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clockMs":482113,"seq":4})";
const std::string
    kJob = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900},)"
           R"({"count":20,"cpu":2000,"after":[0],"checkpointing":true,"antiAffinity":2}]})";
const std::string kConfig =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/","service":"s",)"
    R"("timeoutMs":3000,"targetDurationMs":600,"priority":1,"maxAttempts":4,"stretch":1.6}],)"
    R"("services":[{"name":"s","rejectsOverload":true,"spare":false}]})";
const std::string kTeam = R"({"name":"one","weight":2.5,"apiKeys":["key-1","key-2"],)"
                          R"("maxCount":{"cpu":9000,"memMb":4096,"gpu":0}})";
const std::string
    kWorkerStatus = R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,120]],)"
                    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string kWave = R"({"wave":1,"machines":["m-1","m-2"],"durationS":20.5,"maxCount":3})";

/// Returns a configuration with `teams`, the elements of a JSON array.
std::string teamConfig(const std::string &teams)
{
    return kConfig.substr(0, kConfig.size() - 1) + R"(,"tenants":[)" + teams + "]}";
}

/// Returns `text` with one random byte replaced, and in half of the cases cut at a random position.
std::string damaged(std::string text)
{
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    return text;
}

/// Returns `text` with the value of one random member replaced by one that is usually of another
/// type.
std::string retyped(std::string text)
{
    const std::string other = *rc::gen::element<std::string>("null", "[]", "{}", "\"x\"", "-1",
                                                             "1e300", "true");
    const auto colon = text.find(':', *rc::gen::inRange<std::size_t>(0, text.size()));
    if (colon == std::string::npos)
        return text;
    const auto end = text.find_first_of(",}", colon);
    return text.substr(0, colon + 1) + other + text.substr(end);
}

/// Checks that `decode` either accepts a damaged copy of `message` or throws MalformedMessage or
/// json_exception.
template <typename Decode>
void survivesDamage(const std::string &message, Decode decode)
{
    CHECK(rc::check("decodes or throws", [&] {
        const std::string text = *rc::gen::arbitrary<bool>() ? damaged(message) : retyped(message);
        try {
            decode(text);
        } catch (const MalformedMessage &) {
        } catch (const web::json::json_exception &) {}
    }));
}

} // namespace

TEST_CASE("Discovery_wholeEntry_namesTheWorker", "[platform]")
{
    const WorkerInfo worker = decodeWorker("i-1", kWorkerEntry);
    CHECK(worker.id.name() == "i-1");
    CHECK(worker.pool.name() == "huvo11a");
    CHECK(worker.capacity.milliCores == 16000);
    CHECK(worker.hasLabel("r1-3"));
    CHECK_FALSE(worker.isDraining);
}

TEST_CASE("Discovery_entryOfAnotherWriter_namesNoWorker", "[platform]")
{
    for (const char *entry :
         {"", "{}", "[]", "\xff\xfe", R"({"service":7})",
          R"({"service":"s","address":"1.1.1.1:1","zone":"z","state":"odd","capacity":{}})",
          R"({"service":"s","address":"nowhere","zone":"z","state":"ready","capacity":{}})",
          R"({"service":"s","address":"1.1.1.1:1","zone":"z","state":"ready","capacity":4})"})
        CHECK_THROWS_AS(decodeWorker("i-1", entry), MalformedMessage);
    for (const char *address : {"x:y", "10.0.0.1", "10.0.0.1:", "10.0.0.1:70000", ":80"}) {
        std::string entry = kWorkerEntry;
        const auto begin = entry.find(kWorkerAddress);
        REQUIRE(begin != std::string::npos);
        entry.replace(begin, kWorkerAddress.size(), address);
        CHECK_THROWS_AS(decodeWorker("i-1", entry), MalformedMessage);
    }
    survivesDamage(kWorkerEntry, [](const std::string &text) { decodeWorker("i-1", text); });
}

TEST_CASE("Discovery_numberTooLarge_namesNoWorker", "[platform]")
{
    // Guards against sums of capacities that overflow, and against work that waits for a worker of
    // impossible size.
    const std::string number = GENERATE("1e400", "-1e400", "123456789012345678901234567890",
                                        "9000000000000000", "1000000001", "-1");
    for (const char *member : {R"("cpu":16000)", R"("memMb":32768)", R"("gpu":0)"}) {
        std::string entry = kWorkerEntry;
        const std::string text = member;
        const std::string name = text.substr(0, text.find(':') + 1);
        entry.replace(entry.find(text), text.size(), name + number);
        CHECK_THROWS_AS(decodeWorker("i-1", entry), MalformedMessage);
    }
}

TEST_CASE("Discovery_namesAreEmpty_namesNoWorker", "[platform]")
{
    std::string entry = kWorkerEntry;
    entry.replace(entry.find("huvo11a"), std::string("huvo11a").size(), "");
    CHECK_THROWS_AS(decodeWorker("i-1", entry), MalformedMessage);
    CHECK_THROWS_AS(decodeWorker("", kWorkerEntry), MalformedMessage);
}

TEST_CASE("CallerMessages_wholeJob_isDecoded", "[platform]")
{
    JobSpec job;
    FindingList findings;
    decodeJob(kJob, job, findings);
    CHECK(findings.empty());
    REQUIRE(job.steps.size() == 2);
    CHECK(job.steps[1].after == std::vector<int>{0});
    CHECK(job.steps[1].savesProgress);
    CHECK(job.steps[1].maxPerWorker == 2);
    CHECK(job.steps[0].maxDisrupted == -1);
}

TEST_CASE("CallerMessages_malformedJob_reportsEveryPlace", "[platform]")
{
    JobSpec job;
    FindingList findings;
    decodeJob(R"({"spec":7,"steps":[{"count":0},{"count":1,"cpu":"x","after":[5]}]})", job,
              findings);
    std::vector<std::string> locations;
    for (const Finding &finding : findings.items())
        locations.push_back(finding.location);
    CHECK(locations
          == std::vector<std::string>{"/spec", "/steps/0/count", "/steps/1/cpu", "/steps/1/after"});
}

TEST_CASE("CallerMessages_damagedJob_isReportedOrDecoded", "[platform]")
{
    survivesDamage(kJob, [](const std::string &text) {
        JobSpec job;
        FindingList findings;
        decodeJob(text, job, findings);
        RC_ASSERT(!findings.empty() || !job.steps.empty());
    });
}

TEST_CASE("Configuration_wholeDocument_findsTheLongestPrefix", "[platform]")
{
    FindingList findings;
    FleetConfig config = decodeConfiguration(kConfig, findings);
    CHECK(findings.empty());
    CHECK(config.version.value == 7);
    CHECK(config.queues[0].isPublic);
    CHECK(config.teams.empty());
    config.queues.push_back({.name = "longer", .host = "h.example", .prefix = "/p/q/"});
    CHECK(config.find("h.example", "/p/1")->name == "r");
    CHECK(config.find("h.example", "/p/q/1")->name == "longer");
    CHECK(config.find("other", "/p/1") == nullptr);
    survivesDamage(kConfig, [](const std::string &text) {
        FindingList unused;
        decodeConfiguration(text, unused);
    });
}

TEST_CASE("Configuration_withTeams_readsKeysAndCaps", "[platform]")
{
    FindingList findings;
    const FleetConfig config = decodeConfiguration(teamConfig(kTeam), findings);
    CHECK(findings.empty());
    REQUIRE(config.teams.size() == 1);
    CHECK(config.teams[0].weight == 2.5);
    CHECK(config.teams[0].maxRunning == Resources{9000, 4096, 0});
    CHECK(TeamDirectory(config.teams).find("key-1") == TeamId("one"));
    // Queues ask for keys in a deployment with teams unless the operators say otherwise.
    CHECK_FALSE(config.queues[0].isPublic);
    survivesDamage(teamConfig(kTeam), [](const std::string &text) {
        FindingList unused;
        decodeConfiguration(text, unused);
    });
}

TEST_CASE("Configuration_keyOfTwoTeams_admitsToNeither", "[platform]")
{
    // Guards against a copied key that gives one team the jobs and the room of another.
    FindingList findings;
    const FleetConfig config = decodeConfiguration(
        teamConfig(kTeam
                   + std::string(R"(,{"name":"two","weight":1,"apiKeys":["key-1","key-3"]})")),
        findings);
    CHECK(findings.items().size() == 1);
    const TeamDirectory directory(config.teams);
    CHECK_FALSE(directory.find("key-1"));
    CHECK(directory.find("key-2") == TeamId("one"));
    CHECK(directory.find("key-3") == TeamId("two"));
}

TEST_CASE("Configuration_damagedTeams_admitNobodyAndLeaveTheOthers", "[platform]")
{
    // Guards against a mistake of the operators that lets strangers in or lifts a cap.
    const std::string damaged = GENERATE(as<std::string>(), R"("text")", R"({"apiKeys":["key-9"]})",
                                         R"({"name":7,"weight":1,"apiKeys":["key-9"]})",
                                         R"({"name":"one","weight":1,"apiKeys":["key-9"]})",
                                         R"({"name":"x","weight":1,"apiKeys":"key-9"})",
                                         R"({"name":"x","weight":1,"apiKeys":[9,"",null]})");
    FindingList findings;
    const FleetConfig config = decodeConfiguration(teamConfig(kTeam + ("," + damaged)), findings);
    CHECK_FALSE(findings.empty());
    const TeamDirectory directory(config.teams);
    CHECK(directory.find("key-1") == TeamId("one"));
    CHECK_FALSE(directory.find("key-9"));
    CHECK_FALSE(directory.find(""));
}

TEST_CASE("Configuration_unusableCap_allowsNoStart", "[platform]")
{
    FindingList findings;
    const FleetConfig config = decodeConfiguration(
        teamConfig(R"({"name":"one","weight":-1,"apiKeys":[],"maxCount":{"cpu":-5,"memMb":"x"}})"),
        findings);
    CHECK(findings.items().size() == 3);
    REQUIRE(config.teams.size() == 1);
    CHECK(config.teams[0].weight == 0);
    CHECK(config.teams[0].maxRunning.milliCores == 1);
    CHECK(config.teams[0].maxRunning.memoryMb == 1);
    CHECK(config.teams[0].maxRunning.gpus == 0);
}

TEST_CASE("WorkerClient_workerStatus_readsActiveAndEndedRuns", "[platform]")
{
    const WorkerStatus status = decodeWorkerStatus(kWorkerStatus);
    CHECK(status.clock == Millis(482113));
    REQUIRE(status.running.size() == 1);
    CHECK(status.running[0].progressPercent == 41);
    CHECK(status.running[0].recentLoad == 120);
    REQUIRE(status.ended.size() == 1);
    CHECK(status.ended[0].runOutcome == RunOutcome::Done);
    CHECK(status.ended[0].sequence == 58);
    survivesDamage(kWorkerStatus, [](const std::string &text) { decodeWorkerStatus(text); });
}

TEST_CASE("WorkerClient_oneRunUnreadable_theOthersAreRead", "[platform]")
{
    // Guards against a worker that is lost to the fleet because of one run of another program.
    const std::string known = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41])";
    const auto statusWith = [&](const std::string &active, const std::string &ended) {
        return decodeWorkerStatus(R"({"clockMs":1,"running":[)" + active + known
                                  + R"(],"finished":[)" + ended
                                  + R"([59,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
    };
    const WorkerStatus foreign = statusWith(R"(["their-task",1,"",5],)", "");
    CHECK(foreign.running.size() == 1);
    CHECK_FALSE(foreign.hasUnreadableActiveRuns);
    const WorkerStatus damaged = statusWith(R"([7,null],["5c0e7a21d94b36f8.0.1.18","x","",5],)",
                                            R"({"a":1},)");
    CHECK(damaged.running.size() == 1);
    CHECK(damaged.hasUnreadableActiveRuns);
    CHECK(damaged.ended.size() == 1);
    CHECK(damaged.hasUnreadableEnds);
    const WorkerStatus later = statusWith("", R"([58,"5c0e7a21d94b36f8.0.1.8",1,"evicted",""],)");
    REQUIRE(later.ended.size() == 2);
    CHECK(later.ended[0].runOutcome == RunOutcome::Stopped); // ended, and not done
}

TEST_CASE("WorkerMessages_withStartTime_tellIncarnationsApart", "[platform]")
{
    const std::string born = R"({"born":1796383700123,)";
    CHECK(decodeWorker("i-1", born + kWorkerEntry.substr(1)).started.value == 1796383700123);
    CHECK(decodeWorkerStatus(born + kWorkerStatus.substr(1)).started.value == 1796383700123);
    CHECK(decodeWorker("i-1", kWorkerEntry).started == WorkerStartTime{});
    CHECK(decodeWorkerStatus(kWorkerStatus).started == WorkerStartTime{});
    CHECK(decodeWorker("i-1", R"({"born":-5,)" + kWorkerEntry.substr(1)).started
          == WorkerStartTime{});
}

TEST_CASE("WaveMessages_rowsOfOtherKinds_areNoWaves", "[platform]")
{
    const auto wave = decodeWave("wave/1", kWave);
    REQUIRE(wave);
    CHECK(wave->hosts.size() == 2);
    CHECK(wave->duration == Millis(20500));
    CHECK(wave->maxAtOnce == 3);
    CHECK_FALSE(decodeWave("config", kWave));
    survivesDamage(kWave, [](const std::string &text) { decodeWave("wave/1", text); });
}
