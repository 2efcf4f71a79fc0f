#include "common/Hash.h"
#include "placement/BoundedLoadStrategy.h"
#include "placement/Strategy.h"

namespace eelgrassford::placement {

namespace {

    Decision makeBalanced(RunnerIndex runner, const PlacementContext& context, std::uint32_t considered)
    {
        if (runner == noRunner)
            return {};
        return { runner, Reason::Balanced, considered, context.loads.load(runner), 0.0 };
    }

    /// Returns the first eligible member at or after a position, or noRunner.
    RunnerIndex eligibleMemberFrom(const PlacementContext& context, std::uint64_t position)
    {
        const auto members = context.table.members();
        for (std::size_t i = 0; i < members.size(); ++i) {
            const auto index = members[(position + i) % members.size()].index;
            if (context.eligible[index])
                return index;
        }
        return noRunner;
    }

    class RandomStrategy : public Strategy {
    public:
        explicit RandomStrategy(RandomSource random)
            : m_random(std::move(random))
        {
        }

        Decision choose(const Request&, const PlacementContext& context, TimePoint) override
        {
            return makeBalanced(eligibleMemberFrom(context, m_random()), context, 1);
        }

    private:
        RandomSource m_random;
    };

    class RoundRobinStrategy : public Strategy {
    public:
        Decision choose(const Request&, const PlacementContext& context, TimePoint) override
        {
            return makeBalanced(eligibleMemberFrom(context, m_next++), context, 1);
        }

    private:
        std::uint64_t m_next = 0;
    };

    class LeastLoadStrategy : public Strategy {
    public:
        Decision choose(const Request&, const PlacementContext& context, TimePoint) override
        {
            RunnerIndex least = noRunner;
            std::uint32_t considered = 0;
            for (const auto& member : context.table.members()) {
                if (!context.eligible[member.index])
                    continue;
                ++considered;
                if (least == noRunner || context.loads.load(member.index) < context.loads.load(least))
                    least = member.index;
            }
            return makeBalanced(least, context, considered);
        }
    };

    class TwoChoicesStrategy : public Strategy {
    public:
        explicit TwoChoicesStrategy(RandomSource random)
            : m_random(std::move(random))
        {
        }

        Decision choose(const Request&, const PlacementContext& context, TimePoint) override
        {
            const auto first = eligibleMemberFrom(context, m_random());
            const auto second = eligibleMemberFrom(context, m_random());
            if (first == noRunner)
                return {};
            return makeBalanced(context.loads.load(second) < context.loads.load(first) ? second : first, context, 2);
        }

    private:
        RandomSource m_random;
    };

    class RendezvousStrategy : public Strategy {
    public:
        Decision choose(const Request& request, const PlacementContext& context, TimePoint) override
        {
            constexpr std::uint32_t probes = 64;
            for (std::uint32_t probe = 0; probe < probes; ++probe) {
                const auto runner = context.table.at(mix64(request.chat, probe));
                if (runner == noRunner)
                    break;
                if (context.eligible[runner])
                    return { runner, Reason::Home, probe + 1, context.loads.load(runner), 0.0 };
            }
            return makeBalanced(eligibleMemberFrom(context, request.chat), context, 1);
        }
    };

    /// Consistent hashing with bounded loads as published: takes the first choice within the bound and records no
    /// exceptions.
    class BoundedHashStrategy : public Strategy {
    public:
        Decision choose(const Request& request, const PlacementContext& context, TimePoint) override
        {
            constexpr std::uint32_t probes = 64;
            const double bound = context.loads.mean() * context.loadBound;
            RunnerIndex least = noRunner;
            for (std::uint32_t probe = 0; probe < probes; ++probe) {
                const auto runner = context.table.at(mix64(request.chat, probe));
                if (runner == noRunner)
                    break;
                if (!context.eligible[runner])
                    continue;
                const double load = context.loads.load(runner);
                if (load + request.work() / context.loads.weight(runner) <= bound)
                    return { runner, probe == 0 ? Reason::Home : Reason::Spilled, probe + 1, load, bound };
                if (least == noRunner || load < context.loads.load(least))
                    least = runner;
            }
            return least == noRunner
                ? Decision {}
                : Decision { least, Reason::LeastLoaded, probes, context.loads.load(least), bound };
        }
    };

}

std::string_view nameOf(Reason reason)
{
    switch (reason) {
    case Reason::Home:
        return "home";
    case Reason::Remembered:
        return "remembered";
    case Reason::New:
        return "new";
    case Reason::Returned:
        return "returned";
    case Reason::Spilled:
        return "spilled";
    case Reason::LeastLoaded:
        return "least-loaded";
    case Reason::Balanced:
        return "balanced";
    case Reason::None:
        break;
    }
    return "none";
}

std::unique_ptr<Strategy> makeStrategy(std::string_view name, RandomSource random)
{
    if (name == "bounded-load")
        return std::make_unique<BoundedLoadStrategy>();
    if (name == "random")
        return std::make_unique<RandomStrategy>(std::move(random));
    if (name == "round-robin")
        return std::make_unique<RoundRobinStrategy>();
    if (name == "least-load")
        return std::make_unique<LeastLoadStrategy>();
    if (name == "two-choices")
        return std::make_unique<TwoChoicesStrategy>(std::move(random));
    if (name == "bounded-hash")
        return std::make_unique<BoundedHashStrategy>();
    if (name == "rendezvous")
        return std::make_unique<RendezvousStrategy>();
    return nullptr;
}

}
