#include "oleanderhall/teams/retryspread.h"

namespace oleanderhall {

namespace {

constexpr double kGoldenRatio = 0.6180339887498949; // its multiples modulo 1 are evenly spread

} // namespace

double RetrySpread::nextFraction()
{
    m_position += kGoldenRatio;
    m_position -= m_position >= 1 ? 1 : 0;
    return m_position;
}

Millis RetrySpread::next(Millis mean)
{
    constexpr double kShortest = 0.5;
    return std::chrono::duration_cast<Millis>(mean * (kShortest + nextFraction()));
}

} // namespace oleanderhall
