#pragma once

// Stand-ins and tools for the cases of this review: the platform that starts processes and fills in
// their settings, backends that announce themselves, operators and clients. Everything uses
// loopback addresses and the real clock.

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point &startOfRun()
{
    static const steady::time_point start = steady::now();
    return start;
}

inline double secondsNow()
{
    return std::chrono::duration<double>(steady::now() - startOfRun()).count();
}

inline void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// The record of what was sent, answered and run.
class run_record
{
public:
    static run_record &get()
    {
        static run_record record;
        return record;
    }
    void open(const std::string &path) { m_file.open(path, std::ios::trunc); }
    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", secondsNow());
        m_file << time << line << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void note(const std::string &line)
{
    run_record::get().write(line);
}

// Ends the run: 1 the rule was broken, 0 it held, 2 the case could not run.
[[noreturn]] inline void cannotRun(const std::string &reason)
{
    note("cannot run: " + reason);
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::exit(2);
}

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const address &where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(const address &where)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in to = toSocketAddress(where);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0
        || ::listen(socket, 1024) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline int connectTo(const address &where)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = toSocketAddress(where);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        ::close(socket);
        return -1;
    }
    const int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// A request or a response as read from a connection.
struct message
{
    bool complete = false;
    bool timedOut = false;
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
    int status() const
    {
        return firstLine.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(firstLine.c_str() + 9) : 0;
    }
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
};

// Reads messages from a connection; strict about framing, as a sound peer.
class reader
{
public:
    explicit reader(int socket)
        : m_socket(socket)
    {
    }

    message read(int limitMs)
    {
        const auto until = steady::now() + milliseconds(limitMs);
        message result;
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until, result))
                return result;
        }
        std::istringstream head(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        result.firstLine = line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ')
                ++begin;
            result.headers[lower(line.substr(0, colon))] = line.substr(begin);
        }
        if (onHead)
            onHead(result);
        if (lower(result.header("transfer-encoding")) == "chunked") {
            for (;;) {
                std::size_t lineEnd = 0;
                while ((lineEnd = m_bytes.find("\r\n")) == std::string::npos) {
                    if (!more(until, result))
                        return result;
                }
                const std::size_t size = std::stoul(m_bytes.substr(0, lineEnd), nullptr, 16);
                while (m_bytes.size() < lineEnd + 2 + size + 2) {
                    if (!more(until, result))
                        return result;
                }
                result.body += m_bytes.substr(lineEnd + 2, size);
                m_bytes.erase(0, lineEnd + 2 + size + 2);
                if (size == 0)
                    break;
            }
        } else if (const std::string length = result.header("content-length"); !length.empty()) {
            const std::size_t size = std::stoul(length);
            while (m_bytes.size() < size) {
                if (!more(until, result))
                    return result;
            }
            result.body = m_bytes.substr(0, size);
            m_bytes.erase(0, size);
        }
        result.complete = true;
        return result;
    }

    // Called when the head of a message has been read.
    std::function<void(const message &)> onHead;

private:
    bool more(steady::time_point until, message &result)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        pollfd waiting{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            result.timedOut = true;
            return false;
        }
        std::vector<char> bytes(65'536);
        const ssize_t got = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (got <= 0)
            return false;
        m_bytes.append(bytes.data(), static_cast<std::size_t>(got));
        return true;
    }

    int m_socket;
    std::string m_bytes;
};

// Sends a request on a new connection and reads the answer.
inline message call(const address &where, const std::string &bytes, int limitMs)
{
    const int socket = connectTo(where);
    if (socket < 0)
        return {};
    message answer;
    if (sendAll(socket, bytes))
        answer = reader(socket).read(limitMs);
    ::close(socket);
    return answer;
}

inline std::string jsonCall(const std::string &method, const std::string &path,
                            const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: control\r\n"
        + (body.empty() ? std::string() : "Content-Type: application/json\r\n")
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

// What one process is started with.
struct host
{
    std::string name;
    std::string role;
    std::string ip;
    std::string zone;
    std::string region;
    int memoryMb = 256;
    int descriptors = 4'096;
};

struct installation
{
    int graceS = 6;
    int controls = 3;
    int entries = 1;
    int entryMemoryMb = 256;
    int entryDescriptors = 4'096;
};

// Starts and stops the processes of the system, as the provider does.
class platform
{
public:
    explicit platform(const installation &chosen)
        : m_chosen(chosen)
    {
        ::signal(SIGPIPE, SIG_IGN);
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            cannotRun("no temporary folder");
        m_folder = folder;
        std::random_device random;
        bool found = false;
        for (int i = 0; i < 100 && !found; ++i) {
            m_network =
                "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250);
            found = isFree();
        }
        if (!found)
            cannotRun("no free addresses");
        for (int i = 0; i < chosen.controls; ++i)
            m_hosts.push_back({"control-" + std::to_string(i), "control", ip(10 + i), zone(i),
                               region(i), 256, 4'096});
        for (int i = 0; i < chosen.entries; ++i)
            m_hosts.push_back({"entry-" + std::to_string(i), "entry", ip(100 + i), zone(i),
                               region(i), chosen.entryMemoryMb, chosen.entryDescriptors});
    }

    ~platform() { stop(); }
    platform(const platform &) = delete;
    platform &operator=(const platform &) = delete;

    // Ends all processes and removes the temporary folder.
    void stop()
    {
        m_watching = false;
        if (m_watcher.joinable())
            m_watcher.join();
        for (auto &[name, pid] : m_pids) {
            if (pid > 0) {
                ::kill(pid, SIGCONT);
                ::kill(pid, SIGKILL);
                ::waitpid(pid, nullptr, 0);
            }
        }
        m_pids.clear();
        if (std::getenv("KEEP") == nullptr)
            (void)std::system(("rm -rf " + m_folder).c_str());
    }

    static constexpr int frontPort = 8'548;
    static constexpr int readyPort = 8'542;
    static constexpr int controlPort = 8'544;
    static constexpr int directoryPort = 8'545;
    static constexpr int metricsPort = 9'464;
    static constexpr int internalPort = 7'540;

    static std::string zone(int number) { return std::string("zone-") + "abc"[number % 3]; }
    static std::string region(int number) { return std::string("region-") + "abc"[number % 3]; }
    std::string ip(int last) const { return m_network + "." + std::to_string(last); }
    address control(int number) const { return {ip(10 + number), controlPort}; }
    address entry(int number) const { return {ip(100 + number), frontPort}; }
    address ready(int number) const { return {ip(100 + number), readyPort}; }
    int controls() const { return m_chosen.controls; }

    void startAll()
    {
        for (const host &each : m_hosts)
            start(each, true);
    }

    // Kills processes that use more than their memory, and restarts those that end by themselves,
    // after a short delay, with `bootstrap` false.
    void watch()
    {
        m_watcher = std::thread([this] {
            while (m_watching) {
                for (const host &each : m_hosts) {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    int status = 0;
                    pid_t &pid = m_pids[each.name];
                    // A process that uses more than its memory is killed.
                    const std::size_t usedMb = pid > 0 ? memoryMb(pid, "VmRSS:") : 0;
                    if (usedMb > static_cast<std::size_t>(each.memoryMb)) {
                        note("process " + each.name + " uses " + std::to_string(usedMb) + " MB of "
                             + std::to_string(each.memoryMb) + " and is killed");
                        ::kill(pid, SIGKILL);
                        pause(20);
                    }
                    if (pid <= 0 || ::waitpid(pid, &status, WNOHANG) != pid)
                        continue;
                    ++m_ends[each.name];
                    note("process " + each.name + " ended by itself: "
                         + (WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status))
                                              : "signal " + std::to_string(WTERMSIG(status))));
                    pid = 0;
                    pause(300);
                    startLocked(each, false);
                }
                pause(20);
            }
        });
    }

    // Kills all control processes at the same moment and starts them again within a second. Call it
    // before `watch`.
    void killCore()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        note("all control processes are killed");
        for (const host &each : m_hosts) {
            if (each.role == "control")
                ::kill(m_pids[each.name], SIGKILL);
        }
        pause(500);
        for (const host &each : m_hosts) {
            if (each.role != "control")
                continue;
            ::waitpid(m_pids[each.name], nullptr, 0);
            startLocked(each, false);
        }
    }

    std::map<std::string, int> ends()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_ends;
    }

    void signal(const std::string &name, int number)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        note("signal " + std::to_string(number) + " to " + name);
        ::kill(m_pids[name], number);
    }

    pid_t pid(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_pids[name];
    }

    bool isRunning(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        pid_t &pid = m_pids[name];
        if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
            pid = 0;
        return pid > 0;
    }

    std::size_t peakMemoryMb(const std::string &name) { return memoryMb(pid(name), "VmHWM:"); }

    // The last lines that a process has written.
    std::string log(const std::string &name) const
    {
        std::ifstream file(m_folder + "/" + name + ".log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    // Sends a call to the control hosts in turn until one gives a clear answer.
    message order(const std::string &method, const std::string &path, const std::string &body,
                  int limitS = 20)
    {
        const auto until = steady::now() + std::chrono::seconds(limitS);
        for (int i = 0; steady::now() < until; ++i) {
            const message answer =
                call(control(i % m_chosen.controls), jsonCall(method, path, body), 1'000);
            note(method + " " + path + " at control-" + std::to_string(i % m_chosen.controls)
                 + " -> " + (answer.complete ? std::to_string(answer.status()) : "no answer"));
            if (answer.complete && answer.status() < 500 && answer.status() != 408
                && answer.status() != 429)
                return answer;
            pause(200);
        }
        return {};
    }

private:
    static std::size_t memoryMb(pid_t pid, const std::string &kind)
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string word;
        std::size_t kib = 0;
        while (status >> word) {
            if (word == kind && status >> kib)
                return kib / 1'024;
        }
        return 0;
    }

    bool isFree() const
    {
        for (const int last : {10, 11, 12, 13, 14, 100, 101, 102, 150, 151}) {
            for (const int port :
                 {frontPort, readyPort, controlPort, directoryPort, metricsPort, internalPort}) {
                const int socket = listenOn({ip(last), port});
                if (socket < 0)
                    return false;
                ::close(socket);
            }
        }
        return true;
    }

    // What the template of the deploy file gives when it is filled in.
    std::string settingsOf(const host &each, bool bootstrap) const
    {
        const bool isControl = each.role == "control";
        std::string seeds;
        for (int i = 0; i < std::min(m_chosen.controls, 3); ++i)
            seeds += (i > 0 ? "," : "") + control(i).text();
        const auto at = [&](bool serves, int port) {
            return serves ? each.ip + ":" + std::to_string(port) : std::string();
        };
        std::ostringstream text;
        text
            << "[host]\nname = " << each.name << "\naddress = " << each.ip
            << "\nzone = " << each.zone << "\nregion = " << each.region
            << "\n\n[places]\nzones =\n  zone-a=region-a,\n  zone-b=region-b,\n  zone-c=region-c,\n"
            << "\n[listen]\ntraffic = " << at(!isControl, frontPort)
            << "\nready = " << at(!isControl, readyPort)
            << "\ncontrol = " << at(isControl, controlPort)
            << "\ndirectory = " << at(!isControl, directoryPort)
            << "\nmetrics = " << at(true, metricsPort) << "\ninternal_port = " << internalPort
            << "\n\n[control]\nseeds = " << seeds
            << "\nfounding = " << (bootstrap ? "true" : "false") << "\ndata_folder = "
            << (isControl ? m_folder + "/" + each.name + "-data" : std::string())
            << "\n\n[process]\nshutdown_limit = " << m_chosen.graceS
            << " s\nmemory = " << each.memoryMb << " MiB\ndescriptors = " << each.descriptors
            << "\n\n[directory]\nlongest_lifetime = 5 s\n\n[retries]\nshare = 0.2\nslack = 64\n"
            << "window = 10 s\n\n[accounts]\n\n[steering]\nlargest_shift = 0.15\n";
        return text.str();
    }

    void start(const host &each, bool bootstrap)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        startLocked(each, bootstrap);
    }

    void startLocked(const host &each, bool bootstrap)
    {
        const std::string settings = m_folder + "/" + each.name + ".ini";
        std::ofstream(settings) << settingsOf(each, bootstrap);
        const std::string log = m_folder + "/" + each.name + ".log";
        const std::string variable = "KINGCUPTILLER_SETTINGS=" + settings;
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const rlimit limit{static_cast<rlim_t>(each.descriptors),
                               static_cast<rlim_t>(each.descriptors)};
            ::setrlimit(RLIMIT_NOFILE, &limit);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(file, STDOUT_FILENO);
            ::dup2(file, STDERR_FILENO);
            // `run` of the deploy file, in the root of the repository.
            const char *const program = "target/bin/kingcuptiller-platform";
            const char *const arguments[] = {program, each.role.c_str(), nullptr};
            const char *const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execve(program, const_cast<char *const *>(arguments),
                     const_cast<char *const *>(environment));
            ::_exit(127);
        }
        m_pids[each.name] = pid;
        note("started " + each.name + " as process " + std::to_string(pid));
    }

    installation m_chosen;
    std::string m_folder;
    std::string m_network;
    std::vector<host> m_hosts;
    std::mutex m_mutex;
    std::map<std::string, pid_t> m_pids;
    std::map<std::string, int> m_ends;
    std::atomic<bool> m_watching{true};
    std::thread m_watcher;
};

// A request that a backend has begun to work on.
struct run
{
    std::string id;
    std::string line;
    std::string body;
    double begin = 0;
    double end = 0;
    // The connection ended before the work did.
    bool dropped = false;
};

inline std::string heartbeatBody(const address &where, const std::string &service,
                                 const std::string &zone, int slots, const std::string &state,
                                 int sequence, int life = 0)
{
    return "{\"address\":\"" + where.text()
        + "\",\"born\":" + std::to_string(1'733'540'000'000 + life) + ",\"info\":{\"service\":\""
        + service + "\",\"version\":\"v1\",\"zone\":\"" + zone
        + "\",\"slots\":" + std::to_string(slots) + "},\"status\":{\"state\":\"" + state
        + "\",\"sequence\":" + std::to_string(sequence) + ",\"coldRemainingMs\":0}}";
}

// A sound backend: announces itself, runs one request at a time on a connection and drops it when
// the connection closes. `work` in the query is the work in milliseconds.
class backend
{
public:
    backend(platform &system, address where, std::string id, std::string service, std::string zone,
            int slots = 9)
        : m_system(system)
        , m_where(std::move(where))
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_listener(listenOn(m_where))
    {
        if (m_listener < 0)
            cannotRun("no address for a backend");
        std::thread([this] { accept(); }).detach();
        std::thread([this] { announce(); }).detach();
    }

    std::vector<run> runs() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }
    // Announces that it leaves.
    void drain()
    {
        m_draining = true;
        m_announceNow = true;
    }
    // Starts again under its id, as a new lifetime.
    void restart()
    {
        m_sequence = 0;
        m_acknowledged = 0;
        m_life += 10'000;
        m_draining = false;
        m_announceNow = true;
    }
    // The heartbeats of the present lifetime that were acknowledged.
    int acknowledged() const { return m_acknowledged; }
    // Whether a request has been passed on to this backend, complete or not.
    bool hasSeen(const std::string &id) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_seen.count(id) > 0;
    }

private:
    void announce()
    {
        for (int i = 0;; ++i) {
            const int life = m_life;
            const std::string state = m_draining ? "draining" : "ready";
            const message answer = call(m_system.control(i % m_system.controls()),
                                        jsonCall("PUT", "/v1/instances/" + m_id,
                                                 heartbeatBody(m_where, m_service, m_zone, m_slots,
                                                               state, ++m_sequence, life)),
                                        1'000);
            if (answer.complete && answer.status() / 100 == 2) {
                if (life == m_life)
                    ++m_acknowledged;
                --i;
                for (int waited = 0; waited < 1'500 && !m_announceNow.exchange(false); waited += 20)
                    pause(20);
            } else {
                pause(100);
            }
        }
    }

    void accept()
    {
        for (;;) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
                std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        reader input(socket);
        input.onHead = [this](const message &head) {
            const std::string id = head.header("kingcuptiller-attempt-id");
            note("backend " + m_id + " gets the head of " + id);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_seen[id] = true;
        };
        for (;;) {
            const message request = input.read(600'000);
            if (!request.complete)
                break;
            const std::string id = request.header("kingcuptiller-attempt-id");
            const std::string expected = request.header("kingcuptiller-expect-instance");
            std::string head;
            std::string body = m_service;
            if (request.firstLine.rfind("GET /health ", 0) == 0) {
                head = "HTTP/1.1 200 OK\r\nKingcuptiller-Instance-Id: " + m_id + "\r\n";
            } else if (!expected.empty() && expected != m_id) {
                head = "HTTP/1.1 421 Misdirected Request\r\nKingcuptiller-Not-Executed: 1\r\n";
            } else if (id.empty()) {
                head = "HTTP/1.1 400 Bad Request\r\nKingcuptiller-Not-Executed: 1\r\n";
            } else {
                if (!work(socket, request, id))
                    break;
                head = "HTTP/1.1 200 OK\r\nKingcuptiller-Response-Seal: seal-" + id + "\r\n";
            }
            if (!id.empty())
                head += "Kingcuptiller-Attempt-Id: " + id + "\r\n";
            head += "Kingcuptiller-Server-Load: " + std::to_string(m_running.load()) + ",0,"
                + std::to_string(m_slots) + "\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n";
            if (!sendAll(socket, head + body))
                break;
        }
        ::close(socket);
    }

    // Returns false if the connection ended before the work did.
    bool work(int socket, const message &request, const std::string &id)
    {
        const std::size_t place = request.firstLine.find("work=");
        const int ms =
            place == std::string::npos ? 5 : std::atoi(request.firstLine.c_str() + place + 5);
        std::size_t index = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            index = m_runs.size();
            m_runs.push_back({id, request.firstLine, request.body.substr(0, 200), secondsNow()});
        }
        note("backend " + m_id + " runs " + id + ": " + request.firstLine + ", "
             + std::to_string(request.body.size()) + " bytes of body, time limit "
             + request.header("kingcuptiller-deadline-ms") + " ms");
        ++m_running;
        const auto until = steady::now() + milliseconds(ms);
        bool dropped = false;
        while (!dropped && steady::now() < until) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - steady::now()).count() + 1;
            pollfd waiting{socket, POLLRDHUP, 0};
            dropped = ::poll(&waiting, 1, static_cast<int>(left)) > 0;
        }
        --m_running;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[index].end = secondsNow();
        m_runs[index].dropped = dropped;
        note("backend " + m_id + (dropped ? " drops " : " has run ") + id
             + (dropped ? ", its connection was closed" : ""));
        return !dropped;
    }

    platform &m_system;
    address m_where;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    int m_listener;
    std::atomic<int> m_running{0};
    std::atomic<int> m_life{0};
    std::atomic<int> m_sequence{0};
    std::atomic<int> m_acknowledged{0};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_announceNow{false};
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
    std::map<std::string, bool> m_seen;
};

struct route
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 2'000;
    int targetMs = 500;
    int maxAttempts = 2;
};

// A manifest as on the page about the wire, with its limits.
inline std::string manifest(int version, int base, const std::vector<route> &routes)
{
    std::string items;
    std::map<std::string, bool> services;
    int number = 0;
    for (const route &each : routes) {
        items += "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"r-"
            + std::to_string(number++) + "\"},\"spec\":{\"host\":\"a.example\",\"pathPrefix\":\""
            + each.prefix + "\",\"kind\":\"" + each.kind
            + "\",\"timeoutMs\":" + std::to_string(each.timeoutMs) + ",\"targetLatencyMs\":"
            + std::to_string(each.targetMs) + ",\"priority\":1,\"service\":\"" + each.service
            + "\",\"maxAttempts\":" + std::to_string(each.maxAttempts)
            + ",\"sessionAffinity\":true,\"allowedRegions\":[]}},";
        services[each.service] = true;
    }
    for (const auto &[name, known] : services)
        items += "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"" + name
            + "\"},\"spec\":{\"healthPath\":\"/"
              "health\",\"maxConnections\":2260,\"protocol\":\"h1\","
              "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":8.0}},";
    return "{\"version\":\"r" + std::to_string(version) + "\",\"baseVersion\":\"r"
        + std::to_string(base) + "\",\"resources\":[" + items
        + "{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
          "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}";
}

inline std::string requestHead(const std::string &method, const std::string &target,
                               const std::string &id, int limitMs, const std::string &more)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nKingcuptiller-Attempt-Id: " + id
        + "\r\nKingcuptiller-Deadline-Ms: " + std::to_string(limitMs) + "\r\n" + more + "\r\n";
}

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard<std::mutex> lock(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// Waits until an entry serves a request to `target`.
inline void awaitService(const address &entry, const std::string &target, int limitS = 30)
{
    const auto until = steady::now() + std::chrono::seconds(limitS);
    while (steady::now() < until) {
        const message answer = call(entry, requestHead("GET", target, newId(), 2'000, ""), 2'500);
        if (answer.complete && answer.status() == 200)
            return;
        pause(200);
    }
    cannotRun("the system does not serve");
}

// Ends the run with the result of the check. The threads of the stand-ins are left to the end of
// the process.
[[noreturn]] inline void finish(platform &system, bool broken)
{
    system.stop();
    std::_Exit(broken ? 1 : 0);
}

} // namespace review
