// Guards against keys that are stored in clear or confused with one another.
#include "oleanderhall/teams/apikeydigest.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("ApiKeyDigest_publishedTestVector_hasThePublishedDigest", "[teams]")
{
    const ApiKeyDigest digest = digestOf("abc");
    CHECK(digest.bytes()[0] == 0xba);
    CHECK(digest.bytes()[1] == 0x78);
    CHECK(digest.bytes()[ApiKeyDigest::kBytes - 1] == 0xad);
}

TEST_CASE("ApiKeyDigest_keysThatDifferInAByteOrInLength_areDifferent", "[teams]")
{
    CHECK(digestOf("key-1") == digestOf("key-1"));
    CHECK_FALSE(digestOf("key-1") == digestOf("key-2"));
    CHECK_FALSE(digestOf("key") == digestOf(std::string_view("key\0", 4)));
    CHECK_FALSE(digestOf("") == ApiKeyDigest());
}
