#include "kingcuptiller/control/configuration_store.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <set>

namespace kingcuptiller {

namespace {

constexpr std::size_t maximumTextLength = 128;
// Ended stops stay visible for this long and are then dropped by the next change.
constexpr milliseconds endedStopKept{3'600'000};

[[noreturn]] void refuse(const std::string &message)
{
    throw error(result_code::change_malformed, message);
}

void checkText(const std::string &text, const std::string &what)
{
    if (text.empty() || text.size() > maximumTextLength)
        refuse(what + " must have 1 to 128 characters");
    for (const char each : text) {
        if (static_cast<unsigned char>(each) <= ' ' || each == 127)
            refuse(what + " must not contain spaces or control characters");
    }
}

void checkClass(const work_class &value)
{
    checkText(value.name.text(), "the name of a class");
    const std::string &name = value.name.text();
    // The name is a part of request paths.
    if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos)
        refuse("class " + name + ": use lower-case letters, digits, - and _ in the name");
    if (value.rank.number() < 1 || value.rank.number() > 9)
        refuse("class " + name + ": the rank must be 1 to 9");
    if (value.target.successPerMille > 1000)
        refuse("class " + name + ": the target success must be at most 1000 per mille");
    if (value.target.worth < 1 || value.target.worth > 1000)
        refuse("class " + name + ": the worth must be 1 to 1000");
    if (value.target.latency < milliseconds{1} || value.target.latency > value.maximumDeadline)
        refuse("class " + name + ": the target latency must be 1 ms to the maximum deadline");
    if (value.maximumDeadline > configuration_store::maximumDeadline)
        refuse("class " + name + ": the maximum deadline must be at most 60000 ms");
}

void checkStop(const planned_stop &stop, wall_time now)
{
    checkText(stop.id.text(), "the id of a stop");
    checkText(stop.subject, "the subject of stop " + stop.id.text());
    if (stop.scope == stop_scope::zone && stop.subject.find('/') == std::string::npos)
        refuse("stop " + stop.id.text() + ": name the availability zone as region/zone");
    if (stop.start >= stop.end)
        refuse("stop " + stop.id.text() + ": the start must be before the end");
    if (stop.end <= now)
        refuse("stop " + stop.id.text() + ": the end has passed");
}

template <typename Item, typename Id>
void checkDistinct(const std::vector<Item> &items, const Id &idOf, const std::string &what)
{
    std::set<std::string> seen;
    for (const auto &item : items) {
        if (!seen.insert(idOf(item)).second)
            refuse("the change names " + what + " " + idOf(item) + " twice");
    }
}

template <typename Item, typename Less>
void putSorted(std::vector<Item> &items, const Item &item, const Less &less)
{
    const auto place = std::lower_bound(items.begin(), items.end(), item, less);
    if (place != items.end() && !less(item, *place))
        *place = item;
    else
        items.insert(place, item);
}

void changeClasses(configuration &next, const change_request &change,
                   const configuration_store::class_in_use &inUse)
{
    for (const auto &each : change.putClasses) {
        checkClass(each);
        const auto *former = next.find(each.name);
        if (former != nullptr && former->idempotent != each.idempotent && inUse(each.name))
            throw error(result_code::class_in_use,
                        "class " + each.name.text()
                            + " has upstreams, so whether it is idempotent cannot be changed");
        putSorted(next.classes, each,
                  [](const auto &left, const auto &right) { return left.name < right.name; });
    }
    for (const auto &each : change.removeClasses) {
        if (next.find(each) == nullptr)
            refuse("there is no class " + each.text());
        if (inUse(each))
            throw error(result_code::class_in_use,
                        "class " + each.text() + " has upstreams; stop them first");
        std::erase_if(next.classes, [&each](const auto &known) { return known.name == each; });
    }
    if (next.classes.size() > configuration_store::maximumClasses)
        refuse("there can be at most 64 classes");
}

void changeStops(configuration &next, const change_request &change, wall_time now)
{
    for (const auto &each : change.planStops) {
        checkStop(each, now);
        putSorted(next.stops, each,
                  [](const auto &left, const auto &right) { return left.id < right.id; });
    }
    for (const auto &each : change.withdrawStops) {
        const auto removed =
            std::erase_if(next.stops, [&each](const auto &known) { return known.id == each; });
        if (removed == 0)
            throw error(result_code::stop_unknown, "there is no planned stop " + each.text());
    }
    std::erase_if(next.stops, [now](const auto &known) { return known.end + endedStopKept < now; });
    if (next.stops.size() > configuration_store::maximumStops)
        refuse("there can be at most 1000 planned stops");
}

void checkWhole(const change_request &change)
{
    checkText(change.id.text(), "the id of a change");
    if (change.putClasses.empty() && change.removeClasses.empty() && change.planStops.empty()
        && change.withdrawStops.empty())
        refuse("the change is empty");
    std::vector<class_name> classes = change.removeClasses;
    for (const auto &each : change.putClasses)
        classes.push_back(each.name);
    checkDistinct(
        classes, [](const auto &each) { return each.text(); }, "class");
    std::vector<stop_id> stops = change.withdrawStops;
    for (const auto &each : change.planStops)
        stops.push_back(each.id);
    checkDistinct(
        stops, [](const auto &each) { return each.text(); }, "stop");
}

} // namespace

configuration_store::configuration_store(configuration current,
                                         std::deque<remembered_answer> answers,
                                         milliseconds longestDeadline)
    : m_current(std::move(current))
    , m_answers(std::move(answers))
    , m_longestDeadline(longestDeadline)
{
    for (const auto &each : m_answers)
        m_byId.emplace(each.id, each.answer);
}

const change_answer *configuration_store::findAnswer(const change_id &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &found->second;
}

configuration configuration_store::changed(const change_request &change, wall_time now,
                                           const class_in_use &inUse) const
{
    checkWhole(change);
    configuration next = m_current;
    changeClasses(next, change, inUse);
    changeStops(next, change, now);
    next.revision = m_current.revision.next();
    return next;
}

change_answer configuration_store::apply(const change_command &change, wall_time now,
                                         const class_in_use &inUse)
{
    const change_request &request = change.request;
    if (const auto *former = findAnswer(request.id); former != nullptr)
        return *former;
    change_answer answer{result_code::ok, m_current.revision, ""};
    try {
        if (request.base != m_current.revision)
            throw error(result_code::revision_conflict,
                        "the change is based on revision " + std::to_string(request.base.number())
                            + "; the current one is "
                            + std::to_string(m_current.revision.number()));
        configuration next = changed(request, now, inUse);
        if (change.review != result_code::ok)
            throw error(change.review, change.reviewMessage);
        m_current = std::move(next);
        for (const auto &each : m_current.classes)
            m_longestDeadline = std::max(m_longestDeadline, each.maximumDeadline);
    } catch (const error &refusal) {
        answer.code = refusal.code();
        answer.message = refusal.what();
    }
    answer.revision = m_current.revision;
    // An answer without an id could never be asked for again.
    if (!request.id.empty())
        remember(request.id, answer);
    return answer;
}

void configuration_store::remember(const change_id &id, const change_answer &answer)
{
    m_answers.push_back({id, answer});
    m_byId.emplace(id, answer);
    if (m_answers.size() > rememberedChanges) {
        m_byId.erase(m_answers.front().id);
        m_answers.pop_front();
    }
}

bool isActive(const planned_stop &stop, wall_time now)
{
    return stop.start <= now && now < stop.end;
}

} // namespace kingcuptiller
