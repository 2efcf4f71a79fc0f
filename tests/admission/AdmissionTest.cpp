#include "admission/AdmissionController.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassford;
using namespace eelgrassford::admission;

namespace {

TimePoint at(double seconds) { return TimePoint(fromSeconds(seconds)); }

Submission makeSubmission(Ticket ticket, const std::string& organisation, double startBy = 100, int priority = 0)
{
    return { ticket, organisation, priority, at(startBy) };
}

}

TEST_CASE("the admission controller")
{
    AdmissionController controller({}, at(0));

    SUBCASE("refuses requests beyond an organisation's rate limit with a time to retry")
    {
        const std::vector<OrganisationLimits> limits { { "paint", 1, 2, 0 } };
        controller.setLimits(limits, at(0));
        CHECK(controller.submit(makeSubmission(1, "paint"), at(10)).front().verdict == Verdict::Admitted);
        CHECK(controller.submit(makeSubmission(2, "paint"), at(10)).front().verdict == Verdict::Admitted);
        const auto refused = controller.submit(makeSubmission(3, "paint"), at(10)).front();
        CHECK(refused.verdict == Verdict::RateLimited);
        CHECK(toSeconds(refused.retryAfter) == doctest::Approx(0.5));
        CHECK(controller.submit(makeSubmission(4, "paint"), at(10.5)).front().verdict == Verdict::Admitted);
    }

    SUBCASE("queues requests beyond the capacity and admits them by weight")
    {
        const std::vector<OrganisationLimits> limits { { "large", 3, 0, 0 }, { "small", 1, 0, 0 } };
        controller.setLimits(limits, at(0));
        controller.setCapacity(1);
        CHECK(controller.submit(makeSubmission(1, "large"), at(0)).size() == 1);
        for (Ticket ticket = 2; ticket < 42; ++ticket)
            CHECK(controller.submit(makeSubmission(ticket, ticket % 2 ? "large" : "small"), at(0)).empty());
        std::map<std::string, int> admitted;
        std::string running = "large";
        for (int i = 0; i < 20; ++i) {
            const auto next = controller.finish(running, at(1));
            REQUIRE(next.size() == 1);
            running = next.front().ticket % 2 ? "large" : "small";
            ++admitted[running];
        }
        CHECK(admitted["large"] == 15);
        CHECK(admitted["small"] == 5);
    }

    SUBCASE("admits queued requests of higher priority first within an organisation")
    {
        controller.setCapacity(1);
        controller.submit(makeSubmission(1, "a"), at(0));
        controller.submit(makeSubmission(2, "a", 100, 0), at(0));
        controller.submit(makeSubmission(3, "a", 100, 5), at(0));
        CHECK(controller.finish("a", at(1)).front().ticket == 3);
    }

    SUBCASE("refuses a request when the queue is full, and a queued one when its time to start is over")
    {
        AdmissionController small({ 1 }, at(0));
        small.setCapacity(1);
        small.submit(makeSubmission(1, "a"), at(0));
        CHECK(small.submit(makeSubmission(2, "a", 5), at(0)).empty());
        CHECK(small.submit(makeSubmission(3, "a"), at(0)).front().verdict == Verdict::QueueFull);
        const auto late = small.tick(at(5));
        REQUIRE(late.size() == 1);
        CHECK(late.front().ticket == 2);
        CHECK(late.front().verdict == Verdict::DeadlineUnreachable);
        CHECK(small.queued() == 0);
    }

    SUBCASE("keeps one organisation from filling the whole queue")
    {
        AdmissionController shared({ 100 }, at(0));
        shared.setCapacity(1);
        const std::vector<OrganisationLimits> limits { { "surge", 1, 0, 0 }, { "calm", 1, 0, 0 } };
        shared.setLimits(limits, at(0));
        shared.submit(makeSubmission(1, "calm"), at(0));
        CHECK(shared.submit(makeSubmission(2, "calm"), at(0)).empty());
        std::size_t queued = 0;
        for (Ticket ticket = 10; ticket < 200; ++ticket)
            queued += shared.submit(makeSubmission(ticket, "surge"), at(0)).empty() ? 1 : 0;
        CHECK(queued == 50);
        CHECK(shared.submit(makeSubmission(3, "calm"), at(0)).empty());
    }

    SUBCASE("does not admit a queued request after it was cancelled")
    {
        controller.setCapacity(1);
        controller.submit(makeSubmission(1, "a"), at(0));
        controller.submit(makeSubmission(2, "a"), at(0));
        controller.cancel(2);
        CHECK(controller.finish("a", at(1)).empty());
        CHECK(controller.queued() == 0);
    }
}

TEST_CASE("the daemons' shares of a fleet-wide limit")
{
    SUBCASE("sum to at most one, even if a partition hides some reports of demand")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t>& demands, std::uint32_t partition) {
            const std::size_t count = std::min<std::size_t>(demands.size(), 5);
            std::vector<AdmissionController> fleet;
            for (std::size_t i = 0; i < count; ++i) {
                fleet.emplace_back(AdmissionController::Options {}, at(0));
                fleet.back().setFleetSize(count);
                for (int n = 0; n < demands[i]; ++n)
                    fleet.back().submit(makeSubmission(1, "a"), at(1));
            }
            for (std::size_t to = 0; to < count; ++to) {
                for (std::size_t from = 0; from < count; ++from) {
                    // Only daemons on the same side of the partition reach each other.
                    const bool isReachable = ((partition >> to) & 1) == ((partition >> from) & 1);
                    if (to != from && isReachable)
                        fleet[to].recordPeerDemand(std::to_string(from), fleet[from].demand(at(1)), at(1));
                }
            }
            double total = 0;
            for (const auto& member : fleet)
                total += member.share("a", at(1));
            RC_ASSERT(total <= 1.0 + 1e-9);
        }));
    }

    SUBCASE("shift to the daemon with the demand once its peers report none")
    {
        AdmissionController busy({}, at(0));
        busy.setFleetSize(4);
        for (int i = 0; i < 100; ++i)
            busy.submit(makeSubmission(1, "a"), at(1));
        CHECK(busy.share("a", at(1)) == doctest::Approx(0.25));
        for (const auto* peer : { "b", "c", "d" })
            busy.recordPeerDemand(peer, {}, at(1));
        CHECK(busy.share("a", at(1)) == doctest::Approx(0.3 * 0.25 + 0.7));
    }
}
