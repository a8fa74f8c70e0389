#include "oleanderhall/teams/apikeydigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace oleanderhall {

bool operator==(const ApiKeyDigest &left, const ApiKeyDigest &right)
{
    return CRYPTO_memcmp(left.m_bytes.data(), right.m_bytes.data(), ApiKeyDigest::kBytes) == 0;
}

ApiKeyDigest digestOf(std::string_view key)
{
    ApiKeyDigest::Bytes bytes{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), bytes.data());
    return ApiKeyDigest(bytes);
}

} // namespace oleanderhall
