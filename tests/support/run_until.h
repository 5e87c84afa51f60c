#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace kingcuptiller {

// Runs the handlers of `context` until `condition` holds, for 10 s at most; returns whether it
// holds.
template <typename Condition>
bool runUntil(boost::asio::io_context &context, const Condition &condition)
{
    for (int round = 0; round < 1'000 && !condition(); ++round)
        context.run_for(std::chrono::milliseconds(10));
    return condition();
}

} // namespace kingcuptiller
