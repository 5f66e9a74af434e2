// Permits to send requests to an upstream whose request rate is bounded over
// all entries together. The leading control process issues them, so the bound
// holds for any number of entries, and whenever each of them learns of it.
//
//   // control process
//   PermitIssuer issuer;
//   issuer.RecordPoll(process, liveEntriesThatItKnows, now);
//   grant.m_count = issuer.Issue(entryName, request, now);
//
//   // entry
//   SendPermits permits;
//   permits.Renew(grant, sentAt + kPermitLifetime);
//   if (permits.Take(key, now)) ... send one request ...
//
// An entry keeps an unused permit as long as it asks for it with each poll. An
// entry that gets no answer from a leading control process loses its permits
// and uses the slots of FallbackSlots instead.
//
// Do no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "chivefront/base/clock.h"
#include "chivefront/routing/budget.h"
#include "chivefront/routing/entry_census.h"

namespace chivefront::routing {

// Identifies what is bounded, usually one incarnation of an upstream.
using PermitKey = uint64_t;

// How long the permits of an entry are valid after the poll that asked for
// them. Several polls fit into it.
inline constexpr base::Millis kPermitLifetime{ 1000 };

// A bound on the requests of all entries together.
struct RateBound
{
  PermitKey m_key = 0;
  double m_perSecond = 0; // requests per second, above 0
  // Permits that all entries together may hold unused. More of them let more
  // entries serve a request at once, and come on top of the rate.
  uint32_t m_maxHeld = 1;
};

struct PermitRequest
{
  RateBound m_bound;
  uint32_t m_held = 0;   // valid permits that the entry has not used
  uint32_t m_wanted = 0; // how many it wants to hold
};

// The answer to a PermitRequest. The permits held are renewed.
struct PermitGrant
{
  PermitKey m_key = 0;
  uint32_t m_count = 0; // new permits
};

// Issues permits at the rate of each bound, less the fallback shares of the
// entries that have lost control. In any time T the entries with permits
// together send at most
//   m_maxHeld + 1 + m_perSecond * (T + 0.2 s)
// requests, however many entries ask.
class PermitIssuer
{
public:
  // Records a poll of an entry; see EntryCensus.
  void RecordPoll(const std::string& aProcess,
                  uint32_t aLiveEntries,
                  base::TimePoint aNow)
  {
    m_census.RecordPoll(aProcess, aLiveEntries, aNow);
  }

  // Returns the number of new permits. aHolder: name of the entry's process.
  uint32_t Issue(const std::string& aHolder,
                 const PermitRequest& aRequest,
                 base::TimePoint aNow);

  // Drops what nobody asked for since aBefore.
  void Expire(base::TimePoint aBefore);

private:
  struct Holding
  {
    uint32_t m_count = 0; // permits that the entry may still use
    base::TimePoint m_until;
  };
  struct Issued
  {
    TokenBucket m_bucket;
    base::TimePoint m_askedAt;
    std::unordered_map<std::string, Holding> m_holdings; // by holder
  };

  // Permits that entries other than aHolder may still use.
  static uint32_t HeldByOthers(Issued& aIssued,
                               const std::string& aHolder,
                               base::TimePoint aNow);

  EntryCensus m_census;
  std::unordered_map<PermitKey, Issued> m_issued;
};

// The permits that one entry holds.
class SendPermits
{
public:
  // Adds new permits; all permits of the key are then valid until aUntil.
  void Renew(const PermitGrant& aGrant, base::TimePoint aUntil);
  // The number of permits that may be used at aNow.
  uint32_t Count(PermitKey aKey, base::TimePoint aNow) const;
  // Uses one permit. Returns false if there is none.
  bool Take(PermitKey aKey, base::TimePoint aNow);
  void Expire(base::TimePoint aNow);

private:
  struct Held
  {
    uint32_t m_count = 0;
    base::TimePoint m_until;
  };
  std::unordered_map<PermitKey, Held> m_held;
};

// The fallback share of a bound, which an entry uses while it has no contact
// with a leading control process: a part of an even share, as single requests
// at times that differ between the entries.
class FallbackSlots
{
public:
  // aSeed: differs between the entries and between their incarnations.
  explicit FallbackSlots(uint64_t aSeed)
    : m_seed(aSeed)
  {
  }

  // Whether a request may be sent at aNow. aEntries: how many entries share the
  // bound of aPerSecond requests per second.
  bool Ready(PermitKey aKey,
             double aPerSecond,
             uint32_t aEntries,
             base::TimePoint aNow) const;
  // Uses the current slot. Returns false if it is used or there is none.
  bool Take(PermitKey aKey,
            double aPerSecond,
            uint32_t aEntries,
            base::TimePoint aNow);
  void Expire(base::TimePoint aNow);

private:
  uint64_t m_seed;
  // End of the time in which no other slot may be used, by key.
  std::unordered_map<PermitKey, base::TimePoint> m_usedUntil;
};

} // namespace chivefront::routing
