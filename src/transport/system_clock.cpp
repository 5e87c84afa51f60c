#include "kingcuptiller/transport/system_clock.h"

#include <ctime>

namespace kingcuptiller {

namespace {

microseconds read(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<microseconds>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

instant readInstant()
{
    return instant(read(CLOCK_BOOTTIME));
}

wall_time readWallTime()
{
    return wall_time(read(CLOCK_REALTIME));
}

} // namespace kingcuptiller
