#include "admission/AdmissionController.h"

#include <algorithm>

namespace eelgrassford::admission {

AdmissionController::AdmissionController(const Options& options, TimePoint)
    : m_options(options)
{
}

void AdmissionController::setLimits(std::span<const OrganisationLimits> limits, TimePoint now)
{
    for (const auto& limit : limits)
        organisation(limit.name, now).limits = limit;
}

std::vector<Decision> AdmissionController::submit(const Submission& submission, TimePoint now)
{
    std::vector<Decision> decisions;
    auto& entry = organisation(submission.organisation, now);
    recordArrival(entry, now);
    if (!takeRateToken(entry, now)) {
        const auto rate = entry.limits.ratePerSecond * share(submission.organisation, now);
        decisions.push_back({ submission.ticket, Verdict::RateLimited, fromSeconds((1.0 - entry.tokens) / rate) });
        return decisions;
    }
    if (entry.queue.empty() && hasCapacity(entry, now)) {
        start(entry);
        decisions.push_back({ submission.ticket, Verdict::Admitted, {} });
        return decisions;
    }
    if (now >= submission.startBy) {
        decisions.push_back({ submission.ticket, Verdict::DeadlineUnreachable, std::chrono::seconds(1) });
        return decisions;
    }
    // The queue is divided by weight as well, so that one organisation cannot fill it alone.
    double totalWeight = 0.0;
    for (const auto& [name, other] : m_organisations)
        totalWeight += other.queue.empty() && &other != &entry ? 0.0 : other.limits.weight;
    const auto room = static_cast<double>(m_options.queueLimit) * entry.limits.weight / totalWeight;
    if (static_cast<double>(entry.queue.size()) >= room || m_queued >= m_options.queueLimit) {
        decisions.push_back({ submission.ticket, Verdict::QueueFull, std::chrono::seconds(1) });
        return decisions;
    }
    const auto position = std::find_if(entry.queue.begin(), entry.queue.end(),
        [&](const Submission& other) { return other.priority < submission.priority; });
    entry.queue.insert(position, submission);
    ++m_queued;
    admitQueued(now, decisions);
    return decisions;
}

std::vector<Decision> AdmissionController::finish(const std::string& name, TimePoint now)
{
    auto& entry = organisation(name, now);
    if (entry.running > 0) {
        --entry.running;
        --m_running;
    }
    std::vector<Decision> decisions;
    admitQueued(now, decisions);
    return decisions;
}

void AdmissionController::cancel(Ticket ticket)
{
    for (auto& [name, entry] : m_organisations)
        m_queued -= std::erase_if(entry.queue, [&](const Submission& item) { return item.ticket == ticket; });
}

std::vector<Decision> AdmissionController::tick(TimePoint now)
{
    std::vector<Decision> decisions;
    for (auto& [name, entry] : m_organisations) {
        for (const auto& item : entry.queue) {
            if (now >= item.startBy)
                decisions.push_back({ item.ticket, Verdict::DeadlineUnreachable, std::chrono::seconds(1) });
        }
        m_queued -= std::erase_if(entry.queue, [&](const Submission& item) { return now >= item.startBy; });
    }
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.reportedAt >= m_options.demandExpiry; });
    admitQueued(now, decisions);
    return decisions;
}

void AdmissionController::recordPeerDemand(const std::string& peer, std::span<const Demand> demand, TimePoint now)
{
    auto& entry = m_peers[peer];
    entry.reportedAt = now;
    for (const auto& item : demand)
        entry.rates[item.organisation] = item.requestsPerSecond;
}

std::vector<Demand> AdmissionController::demand(TimePoint now) const
{
    constexpr double negligibleRate = 0.01;
    std::vector<Demand> demands;
    for (const auto& [name, entry] : m_organisations) {
        const double rate = arrivalRate(entry, now);
        if (rate >= negligibleRate)
            demands.push_back({ name, rate });
    }
    return demands;
}

double AdmissionController::share(const std::string& name, TimePoint now) const
{
    const double even = 1.0 / static_cast<double>(m_fleetSize);
    const auto found = m_organisations.find(name);
    const double own = found == m_organisations.end() ? 0.0 : arrivalRate(found->second, now);
    double others = 0.0;
    std::size_t reportingPeers = 0;
    for (const auto& [peer, demand] : m_peers) {
        if (now - demand.reportedAt >= m_options.demandExpiry)
            continue;
        ++reportingPeers;
        const auto rate = demand.rates.find(name);
        others += rate == demand.rates.end() ? 0.0 : rate->second;
    }
    const double total = own + others;
    // Daemons without a current report may be serving requests as well, so their even share is left to them.
    const double reportedPart = static_cast<double>(std::min(reportingPeers + 1, m_fleetSize)) * even;
    const double byDemand = total > 0.0 ? reportedPart * own / total : even;
    return m_options.evenShare * even + (1.0 - m_options.evenShare) * byDemand;
}

AdmissionController::Organisation& AdmissionController::organisation(const std::string& name, TimePoint now)
{
    const auto [position, isNew] = m_organisations.try_emplace(name);
    if (isNew) {
        position->second.limits.name = name;
        position->second.refilledAt = now;
    }
    return position->second;
}

double AdmissionController::arrivalRate(const Organisation& entry, TimePoint now) const
{
    return entry.arrivals.valueAt(m_options.demandWindow, now) / toSeconds(m_options.demandWindow);
}

void AdmissionController::recordArrival(Organisation& entry, TimePoint now) const
{
    entry.arrivals.add(1.0, m_options.demandWindow, now);
}

bool AdmissionController::takeRateToken(Organisation& entry, TimePoint now) const
{
    if (entry.limits.ratePerSecond <= 0.0)
        return true;
    const double rate = entry.limits.ratePerSecond * share(entry.limits.name, now);
    const double depth = std::max(1.0, rate * toSeconds(m_options.burst));
    entry.tokens = std::min(depth, entry.tokens + rate * toSeconds(now - entry.refilledAt));
    entry.refilledAt = now;
    if (entry.tokens < 1.0)
        return false;
    entry.tokens -= 1.0;
    return true;
}

bool AdmissionController::hasCapacity(const Organisation& entry, TimePoint now) const
{
    if (static_cast<double>(m_running) + 1.0 > std::max(1.0, m_capacity))
        return false;
    if (entry.limits.concurrency <= 0.0)
        return true;
    const double limit = std::max(1.0, entry.limits.concurrency * share(entry.limits.name, now));
    return static_cast<double>(entry.running) + 1.0 <= limit;
}

void AdmissionController::start(Organisation& entry)
{
    m_virtualTime = std::max(m_virtualTime, entry.virtualFinish);
    entry.virtualFinish = m_virtualTime + 1.0 / entry.limits.weight;
    ++entry.running;
    ++m_running;
}

void AdmissionController::admitQueued(TimePoint now, std::vector<Decision>& decisions)
{
    while (auto* entry = nextOrganisation(now)) {
        start(*entry);
        decisions.push_back({ entry->queue.front().ticket, Verdict::Admitted, {} });
        entry->queue.erase(entry->queue.begin());
        --m_queued;
    }
}

AdmissionController::Organisation* AdmissionController::nextOrganisation(TimePoint now)
{
    Organisation* next = nullptr;
    for (auto& [name, entry] : m_organisations) {
        if (entry.queue.empty() || !hasCapacity(entry, now))
            continue;
        if (!next || entry.virtualFinish < next->virtualFinish)
            next = &entry;
    }
    return next;
}

}
