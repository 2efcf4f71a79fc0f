#include "store/DeltaCodec.h"
#include "store/Mirror.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace eelgrassford;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::Mirror;

namespace {

constexpr TimePoint start { seconds(100) };
constexpr Duration step = milliseconds(100);
constexpr std::size_t mirrorCount = 5;
/// Mirrors with lower numbers read the store, the others only follow them.
constexpr std::size_t readerCount = 3;
constexpr std::size_t pageSize = 3;

/// A store whose history is trimmed, and that may be restored from an older copy of its data.
class StoreModel : public store::Protocol {
public:
    std::string listTarget(std::string_view after) const override { return "L" + std::string(after); }
    std::string watchTarget(std::uint64_t after, Duration) const override { return "W" + std::to_string(after); }
    tl::expected<store::Page, store::ProtocolError> decodePage(std::string_view) const override { return m_page; }
    tl::expected<store::Changes, store::ProtocolError> decodeChanges(std::string_view) const override
    {
        return m_changes;
    }
    std::optional<std::uint64_t> decodeEra(std::span<const store::Header>) const override { return {}; }
    bool isHistoryLost(std::uint16_t status) const override { return status == 410; }

    void write(const std::string& key, const std::string& value)
    {
        m_items[key] = { key, value, ++m_revision };
        m_history.push_back({ m_items[key], false });
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_history.push_back({ { key, "", ++m_revision }, true });
    }
    void trim()
    {
        m_history.clear();
        m_trimmedRevision = m_revision;
    }
    /// Changes that affect no item that is mirrored.
    void skipRevisions(std::uint64_t count) { m_revision += count; }
    void saveCopy() { m_copy = { m_items, m_revision }; }
    void restoreCopy()
    {
        std::tie(m_items, m_revision) = m_copy;
        ++m_era;
        trim();
    }

    /// Answers the query that a mirror sends, if it sends one.
    /// @return whether items changed
    bool serve(Mirror& mirror, TimePoint now)
    {
        const auto query = mirror.nextQuery(now);
        if (!query)
            return false;
        const auto argument = query->target.substr(1);
        if (query->kind == store::Query::Kind::List) {
            m_page = { {}, false, m_revision };
            for (auto item = m_items.upper_bound(argument); item != m_items.end(); ++item) {
                m_page.hasMore = m_page.items.size() == pageSize;
                if (m_page.hasMore)
                    break;
                m_page.items.push_back(item->second);
            }
            return mirror.handleResponse(200, "", now, m_era);
        }
        const auto after = std::stoull(argument);
        if (after < m_trimmedRevision || after > m_revision)
            return mirror.handleResponse(410, "", now, m_era);
        m_changes = { {}, m_revision };
        for (const auto& change : m_history) {
            if (change.item.revision > after)
                m_changes.changes.push_back(change);
        }
        return mirror.handleResponse(200, "", now, m_era);
    }

    const std::map<std::string, store::Item>& items() const { return m_items; }

private:
    std::map<std::string, store::Item> m_items;
    std::vector<store::Change> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_trimmedRevision = 0;
    std::uint64_t m_era = 1;
    std::pair<std::map<std::string, store::Item>, std::uint64_t> m_copy { {}, 10 };
    store::Page m_page;
    store::Changes m_changes;
};

/// Five daemons' mirrors, of which some may be down.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < mirrorCount; ++i)
            restart(i);
    }

    void play(Duration time, bool hasTrouble)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            if (hasTrouble)
                disturb();
            else
                restoreOwners();
            for (std::size_t i = 0; i < mirrorCount; ++i) {
                if (m_mirrors[i] && (i < readerCount || !m_mirrors[i]->isComplete()) && chance(0.8))
                    m_store.serve(*m_mirrors[i], m_now);
                else if (hasTrouble && !m_mirrors[i] && chance(0.3))
                    restart(i);
                else if (!hasTrouble && !m_mirrors[i])
                    restart(i);
                if (m_mirrors[i])
                    hear(i, m_random() % mirrorCount);
            }
        }
    }

    void check() const
    {
        for (std::size_t i = 0; i < mirrorCount; ++i) {
            CAPTURE(i);
            CHECK(textOf(m_mirrors[i]->items()) == textOf(m_store.items()));
        }
    }

private:
    static std::string textOf(const std::map<std::string, store::Item>& items)
    {
        std::string text;
        for (const auto& [key, item] : items)
            text.append(key).append("=").append(item.value).append(" ");
        return text;
    }
    bool chance(double share) { return std::uniform_real_distribution<double>()(m_random) < share; }

    void restart(std::size_t index)
    {
        m_mirrors[index] = std::make_unique<Mirror>(m_store, Mirror::Options {}, [] { return 0.5; });
    }

    /// A mirror takes the changes that another one announces.
    void hear(std::size_t index, std::size_t from)
    {
        auto& mirror = *m_mirrors[index];
        if (from != index && m_mirrors[from] && m_mirrors[from]->isComplete()
            && (!mirror.isComplete() || m_mirrors[from]->changeRevision() > mirror.completeRevision())) {
            const auto delta
                = store::decodeDelta(store::encode(m_mirrors[from]->changesSince(mirror.completeRevision(), m_now)));
            REQUIRE(delta);
            mirror.merge(*delta, m_now);
        }
        mirror.dropExpired(m_now);
    }

    void disturb()
    {
        const auto key = std::string(1, static_cast<char>('a' + m_random() % 8));
        if (chance(0.3)) {
            m_wanted[key] = std::to_string(m_random() % 1000);
            m_store.write(key, m_wanted[key]);
        }
        if (chance(0.3)) {
            m_wanted.erase(key);
            m_store.remove(key);
        }
        if (chance(0.1))
            m_store.skipRevisions(1 + m_random() % 5);
        if (chance(0.05))
            m_store.trim();
        if (chance(0.03))
            m_store.saveCopy();
        if (chance(0.01))
            m_store.restoreCopy();
        if (chance(0.1))
            m_mirrors[m_random() % mirrorCount] = nullptr;
        if (chance(0.02)) {
            for (auto& mirror : m_mirrors)
                mirror = chance(0.8) ? nullptr : std::move(mirror);
        }
    }

    /// What a restored copy lost is written again, and what it brought back is removed again.
    void restoreOwners()
    {
        for (const auto& [key, value] : m_wanted) {
            const auto found = m_store.items().find(key);
            if (found == m_store.items().end() || found->second.value != value)
                m_store.write(key, value);
        }
        std::vector<std::string> unwanted;
        for (const auto& [key, item] : m_store.items()) {
            if (!m_wanted.contains(key))
                unwanted.push_back(key);
        }
        for (const auto& key : unwanted)
            m_store.remove(key);
    }

    StoreModel m_store;
    std::map<std::string, std::string> m_wanted;
    std::array<std::unique_ptr<Mirror>, mirrorCount> m_mirrors;
    std::mt19937_64 m_random;
    TimePoint m_now = start;
};

}

// Guards against daemons that keep items whose removal nobody told them of.
TEST_CASE("model: mirrors that list, copy, follow and restart in any order end with the content of the store")
{
    constexpr std::uint64_t seeds = 2000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.play(seconds(6), true);
        // The longest time for which a mirror keeps what a restored copy contradicts, and two seconds to spread.
        fleet.play(Mirror::Options {}.confirmationTime + seconds(2), false);
        fleet.check();
    }
}
