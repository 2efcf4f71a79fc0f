#include "peer/Handshake.h"

#include "common/Cbor.h"
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace eelgrassford::peer {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t minimumSecretLength = 16;
    constexpr std::size_t minimumNonceBytes = 16;
    constexpr std::size_t frameMacBytes = 8;

    std::string hmac(std::string_view key, std::string_view message)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &length);
        return { reinterpret_cast<const char*>(digest.data()), length };
    }

    bool isEqualConstantTime(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
    }

    std::string toCbor(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

    Json binary(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

    std::string bytesOf(const Json& json)
    {
        const auto& bytes = json.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    auto refuse(std::string what) { return tl::make_unexpected(HandshakeError { std::move(what) }); }

}

std::optional<FleetKeys> parseFleetKeys(std::string_view text)
{
    FleetKeys keys;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view {} : text.substr(comma + 1);
        const auto colon = item.find(':');
        if (colon == std::string_view::npos || colon == 0 || item.size() - colon - 1 < minimumSecretLength)
            return std::nullopt;
        keys.push_back({ std::string(item.substr(0, colon)), std::string(item.substr(colon + 1)) });
    }
    if (keys.empty())
        return std::nullopt;
    return keys;
}

Handshake::Handshake(Side side, Identity self, FleetKeys keys, std::string nonce)
    : m_side(side)
    , m_self(std::move(self))
    , m_keys(std::move(keys))
    , m_nonce(std::move(nonce))
{
}

std::string Handshake::challenge() const { return toCbor(Json::array({ protocolVersion, binary(m_nonce) })); }

tl::expected<std::string, HandshakeError> Handshake::acceptChallenge(std::string_view frame)
{
    try {
        const auto decoded = decodeCbor(frame);
        if (!decoded)
            return refuse(decoded.error().message());
        const auto& json = *decoded;
        const auto version = json.at(0).get<std::uint32_t>();
        if (version != protocolVersion)
            return refuse("peer uses protocol version " + std::to_string(version) + ", expected "
                + std::to_string(protocolVersion));
        m_peerNonce = bytesOf(json.at(1));
    } catch (const std::exception& error) {
        return refuse(error.what());
    }
    if (m_peerNonce.size() < minimumNonceBytes)
        return refuse("the peer's nonce is too short");
    const auto& key = m_keys.front();
    return toCbor(Json::array({ key.name, m_self.host, m_self.incarnation, m_self.region, m_self.dataCentre,
        binary(helloMac(key, m_self, m_side)) }));
}

tl::expected<Identity, HandshakeError> Handshake::acceptHello(std::string_view frame)
{
    std::string keyName;
    Identity identity;
    std::string mac;
    try {
        const auto decoded = decodeCbor(frame);
        if (!decoded)
            return refuse(decoded.error().message());
        const auto& json = *decoded;
        keyName = json.at(0).get<std::string>();
        identity = { json.at(1).get<std::string>(), json.at(2).get<std::uint64_t>(), json.at(3).get<std::string>(),
            json.at(4).get<std::string>() };
        mac = bytesOf(json.at(5));
    } catch (const std::exception& error) {
        return refuse(error.what());
    }
    const auto key
        = std::find_if(m_keys.begin(), m_keys.end(), [&](const FleetKey& item) { return item.name == keyName; });
    if (key == m_keys.end())
        return refuse("unknown key '" + keyName + "'");
    const auto peerSide = m_side == Side::Connecting ? Side::Accepting : Side::Connecting;
    if (m_peerNonce.empty() || !isEqualConstantTime(mac, helloMac(*key, identity, peerSide)))
        return refuse("wrong signature of host '" + identity.host + "'");
    if (identity.host == m_self.host)
        return refuse("the peer presents the name of this host");
    // Both directions derive their frame keys from the connecting side's key: during a key change the two sides may
    // sign with different keys.
    deriveKeys(m_side == Side::Connecting ? m_keys.front() : *key);
    m_peer = identity;
    return identity;
}

std::string Handshake::helloMac(const FleetKey& key, const Identity& identity, Side sender) const
{
    const bool isOwn = sender == m_side;
    const auto& senderNonce = isOwn ? m_nonce : m_peerNonce;
    const auto& otherNonce = isOwn ? m_peerNonce : m_nonce;
    return hmac(key.secret,
        toCbor(Json::array({ "hello", static_cast<int>(sender), binary(senderNonce), binary(otherNonce), identity.host,
            identity.incarnation, identity.region, identity.dataCentre })));
}

void Handshake::deriveKeys(const FleetKey& key)
{
    const bool isConnecting = m_side == Side::Connecting;
    const auto nonces = isConnecting ? m_nonce + m_peerNonce : m_peerNonce + m_nonce;
    const auto fromConnecting = hmac(key.secret, "frames of the connecting side" + nonces);
    const auto fromAccepting = hmac(key.secret, "frames of the accepting side" + nonces);
    m_sendKey = isConnecting ? fromConnecting : fromAccepting;
    m_receiveKey = isConnecting ? fromAccepting : fromConnecting;
}

std::string Handshake::frameMac(const std::string& key, std::uint64_t counter, std::string_view payload) const
{
    std::string message;
    message.reserve(sizeof(counter) + payload.size());
    for (std::size_t i = 0; i < sizeof(counter); ++i)
        message += static_cast<char>(counter >> (8 * i));
    message += payload;
    return hmac(key, message).substr(0, frameMacBytes);
}

std::string Handshake::seal(std::string_view payload)
{
    std::string frame = frameMac(m_sendKey, m_sentFrames++, payload);
    frame += payload;
    return frame;
}

std::optional<std::string_view> Handshake::open(std::string_view frame)
{
    if (!m_peer || frame.size() < frameMacBytes)
        return std::nullopt;
    const auto payload = frame.substr(frameMacBytes);
    if (!isEqualConstantTime(frame.substr(0, frameMacBytes), frameMac(m_receiveKey, m_receivedFrames, payload)))
        return std::nullopt;
    ++m_receivedFrames;
    return payload;
}

}
