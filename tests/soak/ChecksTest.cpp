#include "soak/Checks.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using soak::brokenPromises;
using soak::Evidence;
using soak::Kind;
using soak::Record;
using soak::Run;

namespace {

const TimePoint begin = TimePoint {} + std::chrono::hours(1);

Record record(Kind kind, std::uint16_t status)
{
    Record result;
    result.id = "c1-1";
    result.kind = kind;
    result.key = "key-1";
    result.sentAt = begin;
    result.status = status;
    return result;
}

Run run(const char* runner) { return { "c1-1", runner, begin }; }

}

TEST_CASE("the soak accepts requests that ran as often as they may")
{
    Evidence evidence;
    evidence.records = { record(Kind::Lookup, 200) };
    evidence.runs = { run("runner-1"), run("runner-2") };
    CHECK(brokenPromises(evidence).empty());
    evidence.records = { record(Kind::Booking, 503) };
    evidence.runs.clear();
    CHECK(brokenPromises(evidence).empty());
    evidence.records = { record(Kind::Booking, 502) };
    evidence.runs = { run("runner-1") };
    CHECK(brokenPromises(evidence).empty());
}

TEST_CASE("the soak reports a booking that ran twice")
{
    Evidence evidence;
    evidence.records = { record(Kind::Booking, 200) };
    evidence.runs = { run("runner-1"), run("runner-2") };
    CHECK(brokenPromises(evidence).size() == 1);
}

TEST_CASE("the soak reports a refusal of a request that ran, and an answer of one that did not")
{
    Evidence evidence;
    evidence.records = { record(Kind::Lookup, 503) };
    evidence.runs = { run("runner-1") };
    CHECK(brokenPromises(evidence).size() == 1);
    evidence.records = { record(Kind::Lookup, 200) };
    evidence.runs.clear();
    CHECK(brokenPromises(evidence).size() == 1);
}

TEST_CASE("the soak reports an answer that is not the request's whole own")
{
    Evidence evidence;
    evidence.records = { record(Kind::Stream, 200) };
    evidence.records.front().flaw = "not the whole body: 7 bytes";
    evidence.runs = { run("runner-1") };
    CHECK(brokenPromises(evidence).size() == 1);
}

TEST_CASE("the soak reports a run with a key that was taken away longer ago than keys may work on")
{
    Evidence evidence;
    evidence.records = { record(Kind::Lookup, 200) };
    evidence.runs = { run("runner-1") };
    evidence.revocations = { { "key-1", begin - std::chrono::seconds(4) } };
    CHECK(brokenPromises(evidence).empty());
    evidence.revocations = { { "key-1", begin - std::chrono::seconds(6) } };
    CHECK(brokenPromises(evidence).size() == 1);
}

TEST_CASE("the soak reports requests that planned work cut, denied or failed")
{
    Evidence evidence;
    evidence.isPlannedOnly = true;
    evidence.records = { record(Kind::Lookup, 401), record(Kind::Lookup, 502), record(Kind::Lookup, 0) };
    evidence.records[0].id = "c1-2";
    evidence.records[1].id = "c1-3";
    evidence.records[2].isCut = true;
    evidence.runs = { run("runner-1") };
    CHECK(brokenPromises(evidence).size() == 3);
    evidence.isPlannedOnly = false;
    CHECK(brokenPromises(evidence).empty());
}
