#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oleanderhall {

/// The SHA-256 digest of a team's key. Keys are secrets, so only their digests are kept. Digests
/// are compared in a time that doesn't depend on their contents.
class ApiKeyDigest
{
public:
    static constexpr std::size_t kBytes = 32;
    using Bytes = std::array<std::uint8_t, kBytes>;

    ApiKeyDigest() = default;
    explicit ApiKeyDigest(const Bytes &bytes)
        : m_bytes(bytes)
    {}

    const Bytes &bytes() const { return m_bytes; }

    friend bool operator==(const ApiKeyDigest &left, const ApiKeyDigest &right);

private:
    Bytes m_bytes{};
};

/// Returns the digest of `key`, which may contain any bytes.
ApiKeyDigest digestOf(std::string_view key);

} // namespace oleanderhall
