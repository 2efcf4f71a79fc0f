#include "gateway/CallerBudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrassford::gateway {

namespace {

    /// Time over which the progress of a caller is averaged.
    constexpr Duration progressWindow = std::chrono::seconds(4);
    /// Rate that every caller is credited with, so that those without any progress are ordered by what they hold.
    constexpr double creditedBytesPerSecond = 16384.0;
    /// Share of the budget from which it is short.
    constexpr double shortShare = 0.75;

}

std::string_view nameOf(CallerPhase phase)
{
    switch (phase) {
    case CallerPhase::Idle:
        return "idle";
    case CallerPhase::Reading:
        return "reading";
    case CallerPhase::Running:
        return "running";
    case CallerPhase::Sending:
        return "sending";
    }
    return "unspecified";
}

std::string_view nameOf(CallerRejection reason)
{
    switch (reason) {
    case CallerRejection::Memory:
        return "memory";
    case CallerRejection::Descriptors:
        return "descriptors";
    case CallerRejection::Slow:
        return "slow";
    }
    return "unspecified";
}

CallerBudget::Key CallerBudget::join(std::string_view address, TimePoint now)
{
    auto found = m_addresses.find(address);
    if (found == m_addresses.end())
        found = m_addresses.emplace(std::string(address), Address {}).first;
    const auto key = m_nextKey++;
    Entry entry;
    entry.address = found;
    entry.bytes = connectionBytes;
    entry.progressAt = now;
    entry.windowStartedAt = now;
    found->second.bytes += connectionBytes;
    ++found->second.connections;
    m_heldBytes += connectionBytes;
    m_descriptors += descriptorsOf(entry);
    m_entries.emplace(key, entry);
    return key;
}

void CallerBudget::leave(Key key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    const auto& entry = found->second;
    m_heldBytes -= entry.bytes;
    m_descriptors -= descriptorsOf(entry);
    if (entry.isLeaving) {
        m_leavingBytes -= entry.bytes;
        m_leavingDescriptors -= descriptorsOf(entry);
    }
    auto& address = entry.address->second;
    address.bytes -= entry.bytes;
    if (--address.connections == 0)
        m_addresses.erase(entry.address);
    m_entries.erase(found);
}

void CallerBudget::update(Key key, std::size_t bytes, CallerPhase phase, TimePoint now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    const auto before = entry.bytes;
    const auto descriptorsBefore = descriptorsOf(entry);
    if (std::exchange(entry.phase, phase) != phase) {
        entry.windowStartedAt = now;
        entry.windowBytes = 0;
        entry.progressAt = now;
    }
    entry.bytes = bytes + connectionBytes;
    const auto descriptors = descriptorsOf(entry);
    m_heldBytes += entry.bytes - before;
    m_descriptors += descriptors - descriptorsBefore;
    entry.address->second.bytes += entry.bytes - before;
    if (entry.isLeaving) {
        m_leavingBytes += entry.bytes - before;
        m_leavingDescriptors += descriptors - descriptorsBefore;
    }
}

void CallerBudget::recordProgress(Key key, std::size_t bytes, TimePoint now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || bytes == 0)
        return;
    auto& entry = found->second;
    entry.progress.add(static_cast<double>(bytes), progressWindow, now);
    entry.progressAt = now;
    entry.windowBytes += bytes;
}

bool CallerBudget::isTooSlow(Key key, TimePoint now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || m_options.minBytesPerSecond <= 0)
        return false;
    auto& entry = found->second;
    const bool isTransferring = entry.phase == CallerPhase::Reading || entry.phase == CallerPhase::Sending;
    const auto elapsed = now - entry.windowStartedAt;
    if (elapsed < m_options.transferWindow)
        return false;
    const auto transferred = static_cast<double>(std::exchange(entry.windowBytes, 0));
    entry.windowStartedAt = now;
    return isTransferring && transferred < m_options.minBytesPerSecond * toSeconds(elapsed);
}

bool CallerBudget::isShort() const
{
    return static_cast<double>(m_heldBytes) > static_cast<double>(m_options.bytes) * shortShare;
}

std::uint64_t CallerBudget::rejections(CallerRejection reason) const
{
    const auto found = m_rejections.find(reason);
    return found == m_rejections.end() ? 0 : found->second;
}

std::size_t CallerBudget::descriptorsOf(const Entry& entry)
{
    // A request that is being answered has a connection to a runner.
    return entry.phase == CallerPhase::Running || entry.phase == CallerPhase::Sending ? 2 : 1;
}

void CallerBudget::setLeaving(Entry& entry)
{
    entry.isLeaving = true;
    m_leavingBytes += entry.bytes;
    m_leavingDescriptors += descriptorsOf(entry);
}

std::optional<CallerBudget::Decision> CallerBudget::nextRejection(TimePoint now)
{
    auto decision = chooseForMemory(now);
    if (!decision)
        decision = chooseForDescriptors();
    if (decision) {
        setLeaving(m_entries.at(decision->key));
        countRejection(decision->reason);
    }
    return decision;
}

std::optional<CallerBudget::Decision> CallerBudget::chooseForMemory(TimePoint now)
{
    const auto held = m_heldBytes - m_leavingBytes;
    if (held <= largeCallerBudget())
        return std::nullopt;
    const bool isUsedUp = held > m_options.bytes;
    const auto share = m_options.bytes / std::max<std::size_t>(m_addresses.size(), 1);
    std::optional<Decision> chosen;
    bool isChosenOverShare = false;
    double longest = 0;
    for (const auto& [key, entry] : m_entries) {
        if (entry.isLeaving || entry.phase == CallerPhase::Running)
            continue;
        if (entry.bytes <= (isUsedUp ? negligibleBytes : smallCallerBytes))
            continue;
        const bool isOverShare = entry.address->second.bytes > share;
        if (isChosenOverShare && !isOverShare)
            continue;
        const auto rate = entry.progress.valueAt(progressWindow, now) / toSeconds(progressWindow);
        const auto seconds = static_cast<double>(entry.bytes) / (rate + creditedBytesPerSecond);
        if (chosen && isOverShare == isChosenOverShare && seconds <= longest)
            continue;
        chosen = Decision { key, CallerRejection::Memory, entry.bytes };
        isChosenOverShare = isOverShare;
        longest = seconds;
    }
    return chosen;
}

std::optional<CallerBudget::Decision> CallerBudget::chooseForDescriptors()
{
    if (m_descriptors - m_leavingDescriptors <= m_options.descriptors)
        return std::nullopt;
    const auto share = m_options.descriptors / std::max<std::size_t>(m_addresses.size(), 1);
    // Idle connections first: nothing is lost with them.
    const auto rank = [share](const Entry& entry) {
        const bool isOverShare = entry.address->second.connections > share;
        return std::tuple(!isOverShare, entry.phase != CallerPhase::Idle, entry.progressAt);
    };
    const Entry* chosen = nullptr;
    Key chosenKey = 0;
    for (const auto& [key, entry] : m_entries) {
        if (entry.isLeaving || entry.phase == CallerPhase::Running)
            continue;
        if (chosen && rank(entry) >= rank(*chosen))
            continue;
        chosen = &entry;
        chosenKey = key;
    }
    if (!chosen)
        return std::nullopt;
    return Decision { chosenKey, CallerRejection::Descriptors, chosen->bytes };
}

}
