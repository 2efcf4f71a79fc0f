#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::peer {

/// Version of the protocol between daemons; a hello with another one is refused.
inline constexpr std::uint32_t protocolVersion = 1;

/// @brief A secret shared by all daemons of a fleet, and its name.
struct FleetKey {
    std::string name;
    std::string secret;
};

/// @brief Keys in order: the first one signs, each of them is accepted. Rollover adds the new key behind, then in
/// front, then removes the old one.
using FleetKeys = std::vector<FleetKey>;

/// @brief Reads "NAME:SECRET,NAME:SECRET"; a secret has at least 16 characters.
std::optional<FleetKeys> parseFleetKeys(std::string_view text);

/// @brief Who a peer says it is.
struct Identity {
    std::string host;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string dataCentre;
    bool operator==(const Identity&) const = default;
};

struct HandshakeError {
    std::string what;
    std::string message() const { return "[peer.304] handshake refused: " + what; }
};

/// @brief Authenticates one connection and protects its frames against change, replay and reordering.
///
/// Both sides send a random nonce, then a hello with an HMAC-SHA-256 over both nonces and the sender's identity.
/// Frames carry a truncated HMAC over a counter under a key derived from both nonces. Frames are not encrypted.
class Handshake {
public:
    enum class Side { Connecting, Accepting };

    /// @param nonce 16 or more random bytes, new for each connection
    Handshake(Side side, Identity self, FleetKeys keys, std::string nonce);

    /// @brief First frame to send.
    std::string challenge() const;
    /// @brief Takes the peer's challenge and gives the hello to send.
    tl::expected<std::string, HandshakeError> acceptChallenge(std::string_view frame);
    /// @brief Takes the peer's hello and authenticates it.
    tl::expected<Identity, HandshakeError> acceptHello(std::string_view frame);
    bool isComplete() const { return m_peer.has_value(); }
    const std::optional<Identity>& peer() const { return m_peer; }

    /// @brief Wraps a payload for sending.
    std::string seal(std::string_view payload);
    /// @brief Checks a received frame and returns its payload, or nothing if it was altered, repeated or reordered.
    std::optional<std::string_view> open(std::string_view frame);

private:
    std::string helloMac(const FleetKey& key, const Identity& identity, Side sender) const;
    std::string frameMac(const std::string& key, std::uint64_t counter, std::string_view payload) const;
    void deriveKeys(const FleetKey& key);

    Side m_side;
    Identity m_self;
    FleetKeys m_keys;
    std::string m_nonce;
    std::string m_peerNonce;
    std::optional<Identity> m_peer;
    std::string m_sendKey;
    std::string m_receiveKey;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

}
