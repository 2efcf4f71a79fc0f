#include "platform/StoreProtocol.h"
#include "store/Mirror.h"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace eelgrassford;
using nlohmann::json;
using std::chrono::milliseconds;
using store::Mirror;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// A store that can be restored from a copy of its data: its revisions go back, and are given out again.
class RestorableStore {
public:
    void write(const std::string& key, const std::string& value)
    {
        m_items[key] = { value, ++m_revision };
        m_events.push_back(toJson(key));
    }
    void remove(const std::string& key)
    {
        m_items.erase(key);
        m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "tombstone", true } });
    }
    void save() { m_copy = { m_items, m_revision }; }
    void restore()
    {
        std::tie(m_items, m_revision) = m_copy;
        m_firstRevision = m_revision;
        m_events.clear();
        ++m_era;
    }

    /// Lets a mirror run its next query, if one is due.
    /// @return whether any item changed
    bool answer(Mirror& mirror, TimePoint now)
    {
        const auto query = mirror.nextQuery(now);
        if (!query)
            return false;
        if (query->kind == store::Query::Kind::List)
            return mirror.handleResponse(200, list().dump(), now, m_era);
        const auto after = std::stoull(query->target.substr(query->target.find("after=") + 6));
        if (after < m_firstRevision || after > m_revision)
            return mirror.handleResponse(410, "", now, m_era);
        return mirror.handleResponse(200, changesAfter(after).dump(), now, m_era);
    }

private:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0;
    };
    using Items = std::map<std::string, Entry>;

    static std::string encode(const std::string& value)
    {
        // Values of three characters need no padding.
        REQUIRE(value.size() == 3);
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(value[i]); };
        const unsigned bits = byte(0) << 16u | byte(1) << 8u | byte(2);
        return { digits[bits >> 18u], digits[bits >> 12u & 63u], digits[bits >> 6u & 63u], digits[bits & 63u] };
    }
    json toJson(const std::string& key) const
    {
        const auto& entry = m_items.at(key);
        return { { "key", key }, { "value", encode(entry.value) }, { "revision", entry.revision } };
    }
    json list() const
    {
        auto items = json::array();
        for (const auto& [key, entry] : m_items)
            items.push_back(toJson(key));
        return { { "items", items }, { "hasMore", false }, { "storeRevision", m_revision } };
    }
    json changesAfter(std::uint64_t revision) const
    {
        auto events = json::array();
        for (const auto& event : m_events) {
            if (event.at("revision") > revision)
                events.push_back(event);
        }
        return { { "events", events }, { "storeRevision", m_revision } };
    }

    Items m_items;
    std::vector<json> m_events;
    std::uint64_t m_revision = 0;
    std::uint64_t m_firstRevision = 0;
    std::uint64_t m_era = 1;
    std::pair<Items, std::uint64_t> m_copy;
};

struct Fixture {
    platform::StoreProtocol protocol;
    RestorableStore store;
    Mirror mirror { protocol, {}, [] { return 0.5; } };
    TimePoint now = start;

    Fixture()
    {
        store.write("a", "a-1");
        store.write("b", "b-1");
        store.save();
        store.write("a", "a-2");
        run();
    }

    void run(Duration time = milliseconds(500))
    {
        for (const auto end = now + time; now < end; now += milliseconds(20)) {
            store.answer(mirror, now);
            mirror.dropExpired(now);
        }
    }
    std::string valueOf(const std::string& key) const
    {
        const auto found = mirror.items().find(key);
        return found == mirror.items().end() ? "" : found->second.value;
    }
};

}

TEST_CASE("a change that is written after the store was restored from an older copy is taken, at whatever revision")
{
    for (const int writes : { 1, 2, 5 }) {
        CAPTURE(writes);
        Fixture fixture;
        REQUIRE(fixture.valueOf("a") == "a-2");
        fixture.store.restore();
        SUBCASE("after the mirror noticed it") { fixture.run(); }
        SUBCASE("before the mirror noticed it") { }
        for (int i = 0; i < writes; ++i)
            fixture.store.write("b", "b-" + std::to_string(2 + i));
        fixture.run();
        CHECK(fixture.valueOf("b") == "b-" + std::to_string(1 + writes));
    }
}
