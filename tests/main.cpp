// Entry point of the unit and property tests. RapidCheck reads the seed of property tests from the
// environment variable RC_PARAMS, which ctest sets.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
