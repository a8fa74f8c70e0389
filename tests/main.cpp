// Runs all unit and property tests. Properties take their seed from RC_PARAMS, which ctest sets.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
