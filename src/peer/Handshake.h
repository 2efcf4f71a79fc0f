#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::peer {

/// Version of the protocol between daemons; a challenge with any other version is refused.
inline constexpr std::uint32_t protocolVersion = 1;

/// @brief A named secret that all daemons of a fleet share.
struct FleetKey {
    std::string name;
    std::string secret;
};

/// @brief Accepted keys; the first one also signs.
///
/// To replace a key without an interruption: append the new key on every daemon, then move it to the front, then
/// remove the old key.
using FleetKeys = std::vector<FleetKey>;

/// @brief Parses "NAME:SECRET,NAME:SECRET".
/// @return the keys in order, or nothing if the text is malformed or a secret has fewer than 16 characters
std::optional<FleetKeys> parseFleetKeys(std::string_view text);

/// @brief Identity that a daemon presents during the handshake.
struct Identity {
    std::string host;
    /// Distinguishes successive processes on the same host.
    std::uint64_t incarnation = 0;
    std::string region;
    std::string dataCentre;
    bool operator==(const Identity&) const = default;
};

/// @brief Describes why a handshake was refused.
struct HandshakeError {
    std::string what;
    std::string message() const { return "[peer.304] handshake refused: " + what; }
};

/// @brief Authenticates one connection and protects its frames against modification, replay and reordering.
///
/// Each side sends a challenge with a random nonce, then a hello with an HMAC-SHA-256 over both nonces and the sender's
/// identity. Each later frame carries a truncated HMAC over a frame counter and the payload, under a key derived from
/// both nonces. Frames are not encrypted.
class Handshake {
public:
    enum class Side { Connecting, Accepting };

    /// @param side whether this daemon opened or accepted the connection
    /// @param self identity that this daemon presents
    /// @param keys accepted keys; must not be empty
    /// @param nonce at least 16 random bytes, fresh for each connection
    Handshake(Side side, Identity self, FleetKeys keys, std::string nonce);

    /// @brief Returns the challenge, which is the first frame to send.
    std::string challenge() const;
    /// @brief Processes the peer's challenge.
    /// @return the hello to send, or an error if the version differs or the nonce is malformed or too short
    tl::expected<std::string, HandshakeError> acceptChallenge(std::string_view frame);
    /// @brief Authenticates the peer by its hello and derives the frame keys.
    /// @return the peer's identity, or an error if its key is unknown or its signature is wrong
    tl::expected<Identity, HandshakeError> acceptHello(std::string_view frame);
    bool isComplete() const { return m_peer.has_value(); }
    const std::optional<Identity>& peer() const { return m_peer; }

    /// @brief Prepends the HMAC of the next frame to a payload; valid once the handshake is complete.
    std::string seal(std::string_view payload);
    /// @brief Verifies a received frame.
    /// @return its payload, a view into @a frame, or nothing if the frame was modified, replayed or reordered
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
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
};

}
