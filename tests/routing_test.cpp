// Tests of subsets over random sets of endpoints, and of the ranked set from which the balancer
// samples endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "balancer/state/ranked_set.h"
#include "routing/subset.h"

namespace beechhill::routing {
namespace {

constexpr std::uint32_t kEndpointsPerCell = 8;
constexpr std::uint32_t kZones = 4;

Endpoint endpoint(EndpointId id) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.cell = id / kEndpointsPerCell;
  endpoint.zone = endpoint.cell % kZones;
  return endpoint;
}

// A complete list of endpoints, whose hashes depend on the seed.
struct EndpointList {
  explicit EndpointList(EndpointId count, std::uint64_t seed = 0) : hash_salt(seed << 32) {
    snapshot.endpoints.reserve(count);
    for (EndpointId id = 0; id < count; ++id) {
      snapshot.endpoints.push_back(endpoint(id));
    }
  }

  std::vector<std::uint64_t> hashes(const EndpointUpdate& update) const {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(update.endpoints.size());
    for (const Endpoint& endpoint : update.endpoints) {
      hashes.push_back(hash_salt + endpoint.id + 1);
    }
    return hashes;
  }

  EndpointUpdate apply_to(SubsetView& view) const { return apply_to(view, snapshot); }
  EndpointUpdate apply_to(SubsetView& view, const EndpointUpdate& update) const {
    return view.apply(update, hashes(update));
  }

  EndpointUpdate snapshot{UpdateKind::kSnapshot, {}};
  std::uint64_t hash_salt;
};

std::vector<SubsetView> make_proxies(std::uint32_t count, SubsetSettings settings,
                                     const EndpointList& list,
                                     SubsetUnit unit = SubsetUnit::kEndpoint) {
  std::vector<SubsetView> proxies;
  proxies.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    settings.proxy_index = i;
    proxies.emplace_back(settings, unit, "proxy-" + std::to_string(i));
    list.apply_to(proxies.back());
  }
  return proxies;
}

// Returns the number of proxies that use each endpoint, indexed by endpoint id.
std::vector<int> users_of(const std::vector<SubsetView>& proxies, EndpointId endpoint_count) {
  std::vector<int> users(endpoint_count, 0);
  for (const SubsetView& proxy : proxies) {
    for (EndpointId id = 0; id < endpoint_count; ++id) {
      users[id] += proxy.uses(id);
    }
  }
  return users;
}

TEST(Subset, UsesAllEndpointsOfASmallList) {
  const EndpointList list(60);
  for (const std::uint32_t min_endpoints : {0u, 60u, 100u}) {
    SubsetView view({min_endpoints, 8, 10, 3u}, SubsetUnit::kCell, "p");
    const EndpointUpdate result = list.apply_to(view);
    ASSERT_EQ(result.endpoints.size(), 60u);
    for (std::size_t i = 0; i < 60; ++i) {
      EXPECT_EQ(result.endpoints[i].id, i);
    }
  }
}

// The distribution must also be even if the configured number of proxies is half or twice the
// actual number.
TEST(Subset, EveryEndpointIsUsedByNearlyTheSameNumberOfProxies) {
  for (const auto& [endpoints, proxy_count, configured_proxies] : {std::tuple{1000u, 50u, 50u},
                                                                   {1000u, 50u, 25u},
                                                                   {1000u, 50u, 100u},
                                                                   {10'000u, 100u, 100u}}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const EndpointList list(endpoints, seed);
      const SubsetSettings settings{100, 8, configured_proxies, std::nullopt};
      const auto proxies = make_proxies(proxy_count, settings, list);
      const auto users = users_of(proxies, endpoints);
      const auto [fewest, most] = std::minmax_element(users.begin(), users.end());
      const double mean = arc_width(settings, endpoints) * proxy_count;
      EXPECT_GE(*fewest, mean - 3) << endpoints << " configured " << configured_proxies;
      EXPECT_LE(*most, mean + 3) << endpoints << " configured " << configured_proxies;
      EXPECT_GE(*fewest, 1);
      for (const SubsetView& proxy : proxies) {
        EXPECT_GE(proxy.used_endpoints(), 60u);
      }
    }
  }
}

TEST(Subset, AChangedEndpointIsReportedOnlyToTheProxiesThatUseIt) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 20; ++round) {
    const EndpointId count = 500 + static_cast<EndpointId>(random() % 2000);
    const EndpointList list(count, random() % 1000);
    auto proxies = make_proxies(40, {100, 8, 40, std::nullopt}, list);
    const auto before = users_of(proxies, count + 1);
    EndpointUpdate update{UpdateKind::kDelta, {endpoint(count)}};
    if (round % 2) {
      update.endpoints[0] = endpoint(static_cast<EndpointId>(random() % count));
      update.endpoints[0].status = EndpointStatus::kRemoved;
    }
    std::size_t reported = 0;
    for (SubsetView& proxy : proxies) {
      reported += list.apply_to(proxy, update).endpoints.size();
    }
    const auto after = users_of(proxies, count + 1);
    const EndpointId changed = update.endpoints[0].id;
    for (EndpointId id = 0; id <= count; ++id) {
      EXPECT_TRUE(id == changed || before[id] == after[id]) << id;
    }
    EXPECT_EQ(reported, static_cast<std::size_t>(std::abs(after[changed] - before[changed])));
  }
}

TEST(Subset, KeepsCellsTogetherAndMixesZones) {
  const EndpointList list(4000);
  for (const SubsetView& proxy :
       make_proxies(30, {300, 8, 30, std::nullopt}, list, SubsetUnit::kCell)) {
    std::vector<int> used_by_zone(kZones, 0);
    for (EndpointId id = 0; id < 4000; ++id) {
      const EndpointId first_of_cell = id / kEndpointsPerCell * kEndpointsPerCell;
      EXPECT_EQ(proxy.uses(id), proxy.uses(first_of_cell)) << "cell " << id / kEndpointsPerCell;
      used_by_zone[endpoint(id).zone] += proxy.uses(id);
    }
    for (const int used : used_by_zone) {
      EXPECT_NEAR(static_cast<double>(used) / static_cast<double>(proxy.used_endpoints()), 0.25,
                  0.12);
    }
  }
}

TEST(Subset, ReportsOnlyItsOwnEndpoints) {
  const EndpointList list(1000);
  const SubsetSettings settings{100, 8, 0, std::nullopt};
  SubsetView view(settings, SubsetUnit::kEndpoint, "proxy-a");
  SubsetView same_name(settings, SubsetUnit::kEndpoint, "proxy-a");
  const EndpointUpdate subset = list.apply_to(view);
  list.apply_to(same_name);
  EXPECT_EQ(subset.endpoints.size(), view.used_endpoints());
  for (EndpointId id = 0; id < 1000; ++id) {
    EXPECT_EQ(view.uses(id), same_name.uses(id)) << id;
  }
  const EndpointId used = subset.endpoints[0].id;
  EndpointId unused = 0;
  while (view.uses(unused)) {
    ++unused;
  }
  EndpointUpdate draining{UpdateKind::kDelta, {endpoint(used), endpoint(unused)}};
  for (Endpoint& endpoint : draining.endpoints) {
    endpoint.status = EndpointStatus::kDraining;
  }
  const EndpointUpdate reported = list.apply_to(view, draining);
  ASSERT_EQ(reported.endpoints.size(), 1u);
  EXPECT_EQ(reported.endpoints[0].id, used);
  EXPECT_EQ(reported.endpoints[0].status, EndpointStatus::kDraining);
  EXPECT_EQ(view.apply(EndpointUpdate{UpdateKind::kFailed, {}}, {}).kind, UpdateKind::kFailed);
}

TEST(Subset, WidensWhileItsEndpointsAreNotUp) {
  const EndpointList list(1000);
  SubsetView view({60, 8, 0, std::nullopt}, SubsetUnit::kEndpoint, "p");
  list.apply_to(view);
  std::vector<EndpointId> used;
  EndpointUpdate draining{UpdateKind::kDelta, {}};
  EndpointUpdate recovered{UpdateKind::kDelta, {}};
  for (EndpointId id = 0; id < 1000; ++id) {
    if (view.uses(id)) {
      used.push_back(id);
      draining.endpoints.push_back(endpoint(id));
      recovered.endpoints.push_back(endpoint(id));
      draining.endpoints.back().status = EndpointStatus::kDraining;
    }
  }
  const EndpointUpdate reported = list.apply_to(view, draining);
  std::size_t up = 0;
  for (const Endpoint& endpoint : reported.endpoints) {
    up += endpoint.status == EndpointStatus::kUp;
  }
  EXPECT_GE(up, used.size() / 2);
  list.apply_to(view, recovered);
  EXPECT_EQ(view.used_endpoints(), used.size());
  for (const EndpointId id : used) {
    EXPECT_TRUE(view.uses(id)) << id;
  }
}

// Replaces half of the endpoints one by one. The reported updates, applied in order, must yield
// exactly the subset.
TEST(Subset, ReportedUpdatesYieldTheSubset) {
  std::mt19937_64 random(11);
  const EndpointList list(800);
  SubsetView view({120, 8, 20, 7u}, SubsetUnit::kEndpoint, "p");
  std::set<EndpointId> reported;
  const auto collect = [&reported](const EndpointUpdate& update) {
    if (update.kind == UpdateKind::kSnapshot) {
      reported.clear();
    }
    for (const Endpoint& endpoint : update.endpoints) {
      if (endpoint.status == EndpointStatus::kRemoved) {
        reported.erase(endpoint.id);
      } else {
        reported.insert(endpoint.id);
      }
    }
  };
  collect(list.apply_to(view));
  for (EndpointId i = 0; i < 400; ++i) {
    const auto removed = static_cast<EndpointId>(random() % 800);
    EndpointUpdate update{UpdateKind::kDelta, {endpoint(800 + i), endpoint(removed)}};
    update.endpoints[1].status = EndpointStatus::kRemoved;
    collect(list.apply_to(view, update));
    for (EndpointId id = 0; i % 40 == 0 && id < 1200; ++id) {
      ASSERT_EQ(reported.count(id) > 0, view.uses(id)) << id;
    }
  }
}

TEST(RankedSet, KeepsItsOrderThroughInsertionsAndErasures) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> rank;
  std::vector<std::pair<double, EndpointId>> all;
  all.reserve(300);
  for (EndpointId id = 0; id < 300; ++id) {
    all.emplace_back(rank(random), id);
  }
  RankedSet set;
  set.assign(all);
  std::set<std::pair<double, EndpointId>> model(all.begin(), all.end());
  for (int i = 0; i < 2000; ++i) {
    const auto& entry = all[random() % all.size()];
    // Inserting an entry that is present and erasing one that is absent must have no effect.
    if (random() % 2) {
      set.insert(entry.first, entry.second);
      model.insert(entry);
    } else {
      set.erase(entry.first, entry.second);
      model.erase(entry);
    }
    ASSERT_EQ(set.size(), model.size());
    std::size_t index = 0;
    for (const auto& expected : model) {
      ASSERT_EQ(set[index++], expected.second);
    }
  }
}

}  // namespace
}  // namespace beechhill::routing
