// Session tokens and roll-out buckets; see session_p.h.
#include "session_p.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kSignatureBytes = 32; ///< HMAC-SHA256
constexpr std::uint32_t kPermille = 1000;

std::string sign(std::string_view payload, std::string_view key)
{
    std::string signature(kSignatureBytes, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(),
         reinterpret_cast<unsigned char *>(signature.data()), &size);
    return signature;
}

std::string toBase64Url(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    text.erase(text.find_last_not_of('=') + 1);
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string padded(text);
    std::ranges::replace(padded, '-', '+');
    std::ranges::replace(padded, '_', '/');
    const auto padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size(), '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                        reinterpret_cast<const unsigned char *>(padded.data()), static_cast<int>(padded.size()));
    if (size < 0 || static_cast<std::size_t>(size) < padding)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace

std::string signPins(const session_pins &pins, std::string_view key)
{
    const nlohmann::json body{pins.account, pins.sessionId, pins.generation, pins.versions};
    const auto payload = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return toBase64Url(sign(payload, key) + payload);
}

result<session_pins> verifyPins(std::string_view token, std::string_view key)
{
    const error failure{error_code::unauthenticated, "session token"};
    const auto bytes = fromBase64Url(token);
    if (!bytes || bytes->size() <= kSignatureBytes)
        return failure;
    const auto payload = bytes->substr(kSignatureBytes);
    const auto expected = sign(payload, key);
    if (CRYPTO_memcmp(expected.data(), bytes->data(), kSignatureBytes) != 0)
        return failure;
    const auto body = nlohmann::json::parse(payload, nullptr, false);
    if (!body.is_array() || body.size() != 4)
        return failure;
    return session_pins{body[0], body[1], body[2], body[3].get<std::vector<std::string>>()};
}

std::uint32_t rolloutBucket(std::string_view sessionId, std::string_view model)
{
    const auto seed = XXH64(model.data(), model.size(), 0);
    return static_cast<std::uint32_t>(XXH64(sessionId.data(), sessionId.size(), seed) % kPermille);
}

} // namespace foxtaildyke
