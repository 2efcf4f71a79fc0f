#include "placement/PlacementExceptionCache.h"

#include <algorithm>

namespace eelgrassford::placement {

PlacementExceptionCache::PlacementExceptionCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

const PlacementException* PlacementExceptionCache::find(std::uint64_t chat) const
{
    const auto found = m_index.find(chat);
    return found == m_index.end() ? nullptr : &*found->second;
}

void PlacementExceptionCache::record(const PlacementException& exception)
{
    store(exception);
    m_changes.push_back(exception);
}

void PlacementExceptionCache::remove(std::uint64_t chat)
{
    if (!m_index.contains(chat))
        return;
    const PlacementException removal { chat, noRunner, noRunner, 0 };
    applyFromPeer(removal);
    m_changes.push_back(removal);
}

void PlacementExceptionCache::applyFromPeer(const PlacementException& exception)
{
    if (exception.runner != noRunner) {
        store(exception);
        return;
    }
    const auto found = m_index.find(exception.chat);
    if (found == m_index.end())
        return;
    m_order.erase(found->second);
    m_index.erase(found);
}

void PlacementExceptionCache::removeRunner(RunnerIndex runner)
{
    for (auto entry = m_order.begin(); entry != m_order.end();) {
        if (entry->runner != runner) {
            ++entry;
            continue;
        }
        m_index.erase(entry->chat);
        entry = m_order.erase(entry);
    }
}

std::vector<PlacementException> PlacementExceptionCache::takeChanges(std::size_t limit)
{
    auto changes = std::move(m_changes);
    m_changes.clear();
    if (changes.size() > limit) {
        std::stable_sort(changes.begin(), changes.end(),
            [](const auto& left, const auto& right) { return left.tokens > right.tokens; });
        changes.resize(limit);
    }
    return changes;
}

void PlacementExceptionCache::store(const PlacementException& exception)
{
    const auto found = m_index.find(exception.chat);
    if (found != m_index.end()) {
        *found->second = exception;
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    if (m_index.size() >= m_capacity) {
        m_index.erase(m_order.back().chat);
        m_order.pop_back();
    }
    m_order.push_front(exception);
    m_index.emplace(exception.chat, m_order.begin());
}

}
