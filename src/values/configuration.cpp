#include "kingcuptiller/values/configuration.h"

#include <algorithm>

namespace kingcuptiller {

const work_class *configuration::find(const class_name &wanted) const
{
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [&wanted](const auto &each) { return each.name == wanted; });
    return found == classes.end() ? nullptr : &*found;
}

} // namespace kingcuptiller
