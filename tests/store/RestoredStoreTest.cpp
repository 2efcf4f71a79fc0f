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
/// A key whose presence says everything; its value states no order.
constexpr std::string_view evacuation = "op/evacuate/a";
constexpr std::string_view mark = "{ }";

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
    void forgetHistory()
    {
        m_firstRevision = m_revision;
        m_events.clear();
    }
    void save() { m_copy = { m_items, m_revision }; }
    void restore()
    {
        std::tie(m_items, m_revision) = m_copy;
        forgetHistory();
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
    Mirror mirror = createMirror();
    TimePoint now = start;

    /// A mirror of documents that begin with the number of their state: "2-a" is later than "1-a".
    Mirror createMirror() const
    {
        return { protocol, {}, [] { return 0.5; },
            [](std::string_view key, std::string_view left, std::string_view right) -> std::partial_ordering {
                if (key == evacuation)
                    return std::partial_ordering::unordered;
                return left.front() <=> right.front();
            } };
    }

    Fixture()
    {
        store.write("a", "1-a");
        store.write("b", "1-b");
        store.save();
        store.write("a", "2-a");
        run();
    }

    void run(Duration time = milliseconds(500))
    {
        for (const auto end = now + time; now < end; now += milliseconds(20)) {
            store.answer(mirror, now);
            mirror.dropExpired(now);
        }
    }
    /// Lets the store be away for a time.
    void fail(Duration time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(20)) {
            if (mirror.nextQuery(now))
                mirror.handleFailure("away", now);
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
        REQUIRE(fixture.valueOf("a") == "2-a");
        fixture.store.restore();
        SUBCASE("after the mirror noticed it") { fixture.run(); }
        SUBCASE("before the mirror noticed it") { }
        for (int i = 0; i < writes; ++i)
            fixture.store.write("b", std::to_string(2 + i) + "-b");
        fixture.run();
        CHECK(fixture.valueOf("b") == std::to_string(1 + writes) + "-b");
    }
}

TEST_CASE("a restored copy does not bring back an older document, nor an item that was removed since")
{
    Fixture fixture;
    fixture.store.remove("b");
    fixture.run();
    REQUIRE(fixture.valueOf("b").empty());
    fixture.store.restore();
    fixture.run();
    CHECK(fixture.valueOf("a") == "2-a");
    CHECK(fixture.valueOf("b").empty());
    // Other daemons get the same, and those that start afresh are told of the removal.
    auto other = fixture.createMirror();
    other.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
    CHECK(other.items().at("a").value == "2-a");
    CHECK_FALSE(other.items().contains("b"));
    // The owner writes it again.
    fixture.store.write("b", "2-b");
    fixture.store.write("a", "3-a");
    fixture.run();
    CHECK(fixture.valueOf("a") == "3-a");
    CHECK(fixture.valueOf("b") == "2-b");
}

// Guards against a revoked credential that a daemon admits which started after the store was restored.
TEST_CASE("a mirror that has only seen the restored copy takes the later document of another one at the same revision")
{
    Fixture fixture;
    fixture.store.restore();
    fixture.run();
    auto started = fixture.createMirror();
    fixture.store.answer(started, fixture.now);
    REQUIRE(started.items().at("a").value == "1-a");
    started.merge(fixture.mirror.changesSince(started.completeRevision(), fixture.now), fixture.now);
    CHECK(started.items().at("a").value == "1-a");
    for (const auto& item : fixture.mirror.itemOf("a").items)
        CHECK(started.takeLaterState(item));
    CHECK(started.items().at("a").value == "2-a");
    CHECK_FALSE(fixture.mirror.takeLaterState({ "a", "1-a", 9 }));
    CHECK(fixture.mirror.itemOf("c").items.empty());
}

TEST_CASE("an item that a restored copy lacks is kept for the time in which its owner writes it again")
{
    for (const bool isWrittenAgain : { true, false }) {
        CAPTURE(isWrittenAgain);
        Fixture fixture;
        fixture.store.write("c", "1-c");
        fixture.run();
        fixture.store.restore();
        fixture.run();
        CHECK(fixture.valueOf("c") == "1-c");
        if (isWrittenAgain)
            fixture.store.write("c", "2-c");
        fixture.run(std::chrono::seconds(4));
        CHECK(fixture.valueOf("c") == (isWrittenAgain ? "2-c" : ""));
    }
}

TEST_CASE("a mirror that follows another one learns of the restored store through it")
{
    Fixture fixture;
    auto follower = fixture.createMirror();
    follower.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
    follower.setReading(false);
    // A change of which only the follower knows is lost with the store.
    store::Delta lost { follower.completeRevision(), follower.completeRevision() + 1, {}, {}, false };
    lost.items.push_back({ "c", "1-c", lost.completeRevision });
    follower.merge(lost, fixture.now);
    fixture.store.restore();
    fixture.store.write("b", "2-b");
    fixture.run();
    REQUIRE(fixture.mirror.completeRevision() > follower.completeRevision());
    const auto delta = fixture.mirror.changesSince(follower.completeRevision(), fixture.now);
    CHECK(delta.isFull);
    CHECK(follower.merge(delta, fixture.now));
    CHECK(follower.items().at("b").value == "2-b");
    CHECK(follower.items().at("a").value == "2-a");
    CHECK(follower.completeRevision() == fixture.mirror.completeRevision());
    follower.dropExpired(fixture.now + std::chrono::seconds(5));
    CHECK_FALSE(follower.items().contains("c"));
    // Its own query goes on in the new era.
    follower.setReading(true);
    fixture.store.write("b", "3-b");
    fixture.store.answer(follower, fixture.now + std::chrono::seconds(6));
    CHECK(follower.items().at("b").value == "3-b");
}

TEST_CASE("a daemon that starts while the store is away misses no change of the restored store")
{
    // It has the copy of another daemon, from before the store was away, when it asks the store for the first time.
    Fixture fixture;
    auto started = fixture.createMirror();
    REQUIRE(started.nextQuery(fixture.now));
    started.handleFailure("the store is away", fixture.now);
    started.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
    started.setReading(true);
    fixture.store.restore();
    fixture.store.write("b", "2-b");
    fixture.store.write("c", "1-c");
    for (int i = 0; i < 100; ++i)
        fixture.store.answer(started, fixture.now += milliseconds(20));
    CHECK(started.items().at("b").value == "2-b");
    CHECK(started.items().at("c").value == "1-c");
}

TEST_CASE("an answer from the copy that was replaced is not taken")
{
    Fixture fixture;
    fixture.store.restore();
    fixture.run();
    const auto revision = fixture.mirror.completeRevision();
    REQUIRE(fixture.mirror.nextQuery(fixture.now + std::chrono::seconds(1)));
    const auto body = R"({"events":[{"key":"b","value":"OS1i","revision":99}],"storeRevision":99})";
    CHECK_FALSE(fixture.mirror.handleResponse(200, body, fixture.now + std::chrono::seconds(1), 1));
    CHECK(fixture.valueOf("b") == "1-b");
    CHECK(fixture.mirror.completeRevision() == revision);
}

TEST_CASE("a late delta of the era before does not make the mirror's deltas incremental for that era")
{
    Fixture fixture;
    const auto before = fixture.mirror.completeRevision();
    fixture.store.restore();
    fixture.run();
    REQUIRE(fixture.mirror.changesSince(before, fixture.now).isFull);
    fixture.mirror.merge({ before, before, {}, {}, false }, fixture.now);
    CHECK(fixture.mirror.changesSince(before, fixture.now).isFull);
}

// Guards against services that are refused for good although their runners live and are listed.
TEST_CASE("an entry that lapsed in an outage is taken from a restored copy that lists it again, in the same state")
{
    for (const auto timeBack : { milliseconds(100), milliseconds(1000), milliseconds(2300) }) {
        CAPTURE(timeBack.count());
        Fixture fixture;
        auto follower = fixture.createMirror();
        follower.setReading(false);
        follower.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
        fixture.store.save();
        fixture.fail(std::chrono::seconds(4));
        fixture.store.remove("b");
        fixture.run(timeBack);
        follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
        fixture.store.restore();
        for (int i = 0; i < 500; ++i) {
            fixture.run(milliseconds(20));
            follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
            follower.dropExpired(fixture.now);
        }
        CHECK(fixture.valueOf("b") == "1-b");
        CHECK(follower.items().contains("b"));
    }
}

TEST_CASE("an entry that was removed and that a restored copy lists for longer than a lease is taken again")
{
    Fixture fixture;
    auto follower = fixture.createMirror();
    follower.setReading(false);
    fixture.store.remove("b");
    fixture.run();
    follower.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
    fixture.store.restore();
    fixture.run(std::chrono::seconds(4));
    follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
    CHECK(fixture.valueOf("b").empty());
    CHECK_FALSE(follower.items().contains("b"));
    SUBCASE("its owner lives")
    {
        fixture.run(std::chrono::seconds(3));
        CHECK(fixture.valueOf("b") == "1-b");
        CHECK(follower.dropExpired(fixture.now));
        CHECK(follower.items().at("b").value == "1-b");
    }
    SUBCASE("its lease runs out, since its owner has left")
    {
        fixture.store.remove("b");
        fixture.run(milliseconds(400));
        follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
        fixture.run(std::chrono::seconds(10));
        follower.dropExpired(fixture.now);
        CHECK(fixture.valueOf("b").empty());
        CHECK_FALSE(follower.items().contains("b"));
    }
    SUBCASE("its owner writes it again")
    {
        fixture.store.write("b", "2-b");
        fixture.run(milliseconds(400));
        CHECK(fixture.valueOf("b") == "2-b");
    }
}

// Guards against requests to an evacuated data centre after the store lost the key, until the operator writes it again.
TEST_CASE("a restored copy that lacks an evacuation does not end it before the operator can write it again")
{
    Fixture fixture;
    auto follower = fixture.createMirror();
    follower.setReading(false);
    const auto runUntil = [&](Duration time) {
        for (const auto end = fixture.now + time; fixture.now < end;) {
            fixture.run(milliseconds(100));
            follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
            follower.dropExpired(fixture.now);
        }
    };
    const std::string key(evacuation);
    fixture.store.write(key, std::string(mark));
    runUntil(milliseconds(500));
    fixture.store.restore();
    runUntil(milliseconds(2000));
    CHECK(fixture.valueOf(key) == mark);
    CHECK(follower.items().contains(key));
    SUBCASE("written again")
    {
        fixture.store.write(key, std::string(mark));
        runUntil(std::chrono::seconds(10));
        CHECK(fixture.valueOf(key) == mark);
        CHECK(follower.items().contains(key));
        fixture.store.remove(key);
        runUntil(milliseconds(500));
        CHECK(fixture.valueOf(key).empty());
        CHECK_FALSE(follower.items().contains(key));
    }
    SUBCASE("not written again")
    {
        runUntil(std::chrono::seconds(2));
        CHECK(fixture.valueOf(key).empty());
        CHECK_FALSE(follower.items().contains(key));
    }
}

// Guards against a data centre that is taken out of service again by an older copy of the store, and against a copy
// that is never believed: the key holds while the store has it.
TEST_CASE("an evacuation that was removed is taken from a restored copy only if the operator leaves it there")
{
    Fixture fixture;
    const std::string key(evacuation);
    fixture.store.write(key, std::string(mark));
    fixture.store.save();
    fixture.store.remove(key);
    fixture.run();
    REQUIRE(fixture.valueOf(key).empty());
    auto follower = fixture.createMirror();
    follower.setReading(false);
    follower.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
    fixture.store.restore();
    fixture.run(std::chrono::seconds(2));
    follower.merge(fixture.mirror.changesSince(follower.completeRevision(), fixture.now), fixture.now);
    CHECK(fixture.valueOf(key).empty());
    CHECK_FALSE(follower.items().contains(key));
    SUBCASE("removed again")
    {
        fixture.store.remove(key);
        fixture.run(std::chrono::seconds(10));
        CHECK(fixture.valueOf(key).empty());
    }
    SUBCASE("left there, it holds within the 5 s of any evacuation")
    {
        fixture.run(std::chrono::seconds(2));
        CHECK(fixture.valueOf(key) == mark);
        CHECK(follower.dropExpired(fixture.now));
        CHECK(follower.items().contains(key));
    }
    SUBCASE("written anew")
    {
        fixture.store.write(key, std::string(mark));
        fixture.run(milliseconds(500));
        CHECK(fixture.valueOf(key) == mark);
    }
}

// Guards against removed items that come back for good after a copy was taken from another daemon.
TEST_CASE("an item that was doubted and that a full copy or a later listing lacks does not come back")
{
    Fixture fixture;
    auto follower = fixture.createMirror();
    fixture.store.remove("b");
    fixture.run();
    fixture.store.restore();
    fixture.run(milliseconds(400));
    CHECK(fixture.valueOf("b").empty());
    auto since = fixture.mirror.completeRevision();
    SUBCASE("another daemon lists the store after the second removal")
    {
        fixture.store.remove("b");
        fixture.store.answer(follower, fixture.now);
        fixture.mirror.merge(follower.changesSince(0, fixture.now), fixture.now);
    }
    SUBCASE("this daemon lists the store again, and another one follows it")
    {
        follower.merge(fixture.mirror.changesSince(0, fixture.now), fixture.now);
        follower.setReading(false);
        since = follower.completeRevision();
        fixture.store.remove("b");
        fixture.store.forgetHistory();
        fixture.run(milliseconds(400));
        follower.merge(fixture.mirror.changesSince(since, fixture.now), fixture.now);
    }
    fixture.now += std::chrono::seconds(10);
    fixture.mirror.dropExpired(fixture.now);
    follower.dropExpired(fixture.now);
    CHECK(fixture.valueOf("b").empty());
    CHECK_FALSE(follower.items().contains("b"));
}
