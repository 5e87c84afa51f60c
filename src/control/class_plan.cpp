#include "class_plan.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace kingcuptiller::internal {

namespace {

constexpr double evenPart = 0.2;
constexpr std::uint32_t bandDivisor = 5;

using counts = std::vector<std::uint32_t>;

std::uint32_t sum(const counts &values)
{
    return std::accumulate(values.begin(), values.end(), std::uint32_t{0});
}

std::vector<double> toWeights(const counts &values)
{
    return {values.begin(), values.end()};
}

// The slots that each entry should have of the whole class.
counts divideAmongEntries(const std::vector<planned_entry> &entries, std::uint32_t total)
{
    double demand = 0;
    std::size_t serving = 0;
    for (const auto &each : entries) {
        demand += each.released ? 0 : each.demand;
        serving += each.released ? 0 : 1;
    }
    std::vector<double> weights(entries.size(), 0.0);
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
        if (entries[entry].released)
            continue;
        const double even = 1.0 / static_cast<double>(serving);
        weights[entry] =
            demand > 0 ? evenPart * even + (1 - evenPart) * entries[entry].demand / demand : even;
    }
    counts parts = apportion(total, weights);
    for (std::size_t entry = 0; entry < entries.size() && total >= serving; ++entry) {
        if (parts[entry] > 0 || entries[entry].released)
            continue;
        --*std::max_element(parts.begin(), parts.end());
        parts[entry] = 1;
    }
    return parts;
}

// The slots of each region, and for each region the slots that each entry should have there.
struct region_plan
{
    region_name name;
    std::uint32_t slots = 0;
    counts parts;
    std::vector<planned_upstream *> upstreams;
};

std::vector<region_plan> groupByRegion(std::vector<planned_upstream> &upstreams,
                                       std::size_t entries)
{
    std::map<region_name, region_plan> byName;
    for (auto &each : upstreams) {
        auto &region = byName[each.region];
        region.name = each.region;
        region.slots += each.available;
        region.upstreams.push_back(&each);
    }
    std::vector<region_plan> regions;
    for (auto &each : byName) {
        each.second.parts.assign(entries, 0);
        regions.push_back(std::move(each.second));
    }
    return regions;
}

// First the slots of an entry's own region, then those that are left in the others.
void divideAmongRegions(const std::vector<planned_entry> &entries, counts wanted,
                        std::vector<region_plan> &regions)
{
    counts open;
    for (auto &region : regions) {
        std::vector<double> local(entries.size(), 0.0);
        std::uint32_t total = 0;
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            if (entries[entry].region != region.name)
                continue;
            local[entry] = wanted[entry];
            total += wanted[entry];
        }
        region.parts = apportion(std::min(total, region.slots), local);
        for (std::size_t entry = 0; entry < entries.size(); ++entry)
            wanted[entry] -= region.parts[entry];
        open.push_back(region.slots - sum(region.parts));
    }
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
        const counts remote = apportion(wanted[entry], toWeights(open));
        for (std::size_t region = 0; region < regions.size(); ++region) {
            regions[region].parts[entry] += remote[region];
            open[region] -= remote[region];
        }
    }
}

// Moves limits within one region from where they are to where they should be.
class region_mover
{
public:
    region_mover(region_plan &plan, std::size_t entries)
        : m_plan(plan)
        , m_held(entries, 0)
    {
        for (auto *upstream : plan.upstreams) {
            fit(*upstream);
            for (std::size_t entry = 0; entry < entries; ++entry)
                m_held[entry] += upstream->limits[entry];
        }
    }

    void move()
    {
        const std::uint32_t open = m_plan.slots - sum(m_held);
        std::uint32_t urgent = 0;
        for (std::size_t entry = 0; entry < m_held.size(); ++entry)
            urgent += isUrgent(entry) ? lack(entry) : 0;
        takeBack(urgent > open ? urgent - open : 0);
        giveOut();
    }

private:
    [[nodiscard]] std::uint32_t lack(std::size_t entry) const
    {
        return m_plan.parts[entry] > m_held[entry] ? m_plan.parts[entry] - m_held[entry] : 0;
    }
    [[nodiscard]] std::uint32_t surplus(std::size_t entry) const
    {
        return m_held[entry] > m_plan.parts[entry] ? m_held[entry] - m_plan.parts[entry] : 0;
    }
    [[nodiscard]] bool isUrgent(std::size_t entry) const
    {
        const std::uint32_t band = std::max(1U, m_plan.parts[entry] / bandDivisor);
        return lack(entry) > band || (m_held[entry] == 0 && m_plan.parts[entry] > 0);
    }

    // An upstream with less room than before, such as one that is stopped, keeps only what fits.
    static void fit(planned_upstream &upstream)
    {
        for (std::uint32_t held = sum(upstream.limits); held > upstream.available; --held)
            --*std::max_element(upstream.limits.begin(), upstream.limits.end());
    }

    void takeBack(std::uint32_t number)
    {
        std::vector<std::size_t> order =
            entriesBy([this](std::size_t each) { return surplus(each); });
        for (const std::size_t entry : order) {
            const std::uint32_t taken = std::min(number, surplus(entry));
            for (std::uint32_t each = 0; each < taken; ++each)
                takeOne(entry);
            number -= taken;
        }
    }

    void giveOut()
    {
        std::uint32_t open = m_plan.slots - sum(m_held);
        std::vector<std::size_t> order = entriesBy([this](std::size_t each) { return lack(each); });
        for (const std::size_t entry : order) {
            const std::uint32_t given = std::min(open, lack(entry));
            for (std::uint32_t each = 0; each < given; ++each)
                giveOne(entry);
            open -= given;
        }
    }

    template <typename Measure>
    std::vector<std::size_t> entriesBy(const Measure &measure) const
    {
        std::vector<std::size_t> order(m_held.size());
        std::iota(order.begin(), order.end(), 0);
        std::stable_sort(order.begin(), order.end(),
                         [&measure](std::size_t left, std::size_t right) {
                             return measure(left) > measure(right);
                         });
        return order;
    }

    // From the upstream of which the entry has most, so that its slots stay spread.
    void takeOne(std::size_t entry)
    {
        auto &upstream = **std::max_element(m_plan.upstreams.begin(), m_plan.upstreams.end(),
                                            [entry](const auto *left, const auto *right) {
                                                return left->limits[entry] < right->limits[entry];
                                            });
        --upstream.limits[entry];
        --m_held[entry];
    }

    void giveOne(std::size_t entry)
    {
        planned_upstream *best = nullptr;
        std::uint32_t bestOpen = 0;
        for (auto *each : m_plan.upstreams) {
            const std::uint32_t held = sum(each->limits);
            if (held >= each->available)
                continue;
            const std::uint32_t open = each->available - held;
            if (best == nullptr || each->limits[entry] < best->limits[entry]
                || (each->limits[entry] == best->limits[entry] && open > bestOpen)) {
                best = each;
                bestOpen = open;
            }
        }
        ++best->limits[entry];
        ++m_held[entry];
    }

    region_plan &m_plan;
    counts m_held;
};

} // namespace

std::vector<std::uint32_t> apportion(std::uint32_t total, const std::vector<double> &weights)
{
    counts parts(weights.size(), 0);
    const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total == 0 || all <= 0)
        return parts;
    std::vector<std::pair<double, std::size_t>> remainders;
    std::uint32_t given = 0;
    for (std::size_t each = 0; each < weights.size(); ++each) {
        const double exact = total * weights[each] / all;
        parts[each] = static_cast<std::uint32_t>(exact);
        given += parts[each];
        if (weights[each] > 0)
            remainders.emplace_back(exact - parts[each], each);
    }
    std::stable_sort(remainders.begin(), remainders.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (std::size_t each = 0; given < total; each = (each + 1) % remainders.size(), ++given)
        ++parts[remainders[each].second];
    return parts;
}

void planClass(const std::vector<planned_entry> &entries, std::vector<planned_upstream> &upstreams)
{
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
        for (auto &upstream : upstreams)
            upstream.limits[entry] = entries[entry].released ? 0 : upstream.limits[entry];
    }
    auto regions = groupByRegion(upstreams, entries.size());
    std::uint32_t total = 0;
    for (const auto &each : regions)
        total += each.slots;
    divideAmongRegions(entries, divideAmongEntries(entries, total), regions);
    for (auto &each : regions)
        region_mover(each, entries.size()).move();
}

} // namespace kingcuptiller::internal
