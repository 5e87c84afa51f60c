#pragma once

// Stand-ins for the scripts of review/11 to review/15: the platform (starts and stops the
// project's programs), an operator, upstreams and clients. POSIX only, one thread a connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

enum exit_status { held = 0, broken = 1, not_run = 2 };

inline bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr || std::string(value) != "0";
}

inline void pauseFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// record.txt: one line an event, with the milliseconds since the start of the script.
class record_file
{
public:
    explicit record_file(const std::string &folder)
        : m_file(folder + "/record.txt", std::ios::trunc)
        , m_start(steady::now())
    {
    }
    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now() << " ms  " << text << std::endl;
    }

private:
    std::ofstream m_file;
    steady::time_point m_start;
    std::mutex m_mutex;
};

struct endpoint
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const endpoint &at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

inline int bindSocket(const endpoint &at)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = socketAddress(at);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

// A blocking connection with a time limit for each operation.
class connection
{
public:
    connection() = default;
    explicit connection(int socket)
        : m_socket(socket)
    {
    }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool open(const endpoint &to, milliseconds limit)
    {
        close();
        m_rest.clear();
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setLimit(limit);
        const int one = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const sockaddr_in address = socketAddress(to);
        if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return true;
        close();
        return false;
    }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    void setLimit(milliseconds limit)
    {
        const timeval time{limit.count() / 1'000, (limit.count() % 1'000) * 1'000};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }
    [[nodiscard]] bool isOpen() const { return m_socket >= 0; }
    [[nodiscard]] int socket() const { return m_socket; }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Reads up to the end of a line; nothing at the end of the connection or of the time limit.
    std::optional<std::string> readLine()
    {
        for (;;) {
            const std::size_t end = m_rest.find("\r\n");
            if (end != std::string::npos) {
                std::string line = m_rest.substr(0, end);
                m_rest.erase(0, end + 2);
                return line;
            }
            if (!readMore())
                return std::nullopt;
        }
    }
    // Reads `count` bytes and keeps only their number. Returns how many came.
    std::size_t skip(std::size_t count)
    {
        std::size_t done = std::min(count, m_rest.size());
        m_rest.erase(0, done);
        std::vector<char> buffer(65'536);
        while (done < count) {
            const ssize_t got =
                ::recv(m_socket, buffer.data(), std::min(buffer.size(), count - done), 0);
            if (got <= 0)
                break;
            done += static_cast<std::size_t>(got);
        }
        return done;
    }
    bool readMore()
    {
        std::vector<char> buffer(65'536);
        const ssize_t got = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (got <= 0)
            return false;
        m_rest.append(buffer.data(), static_cast<std::size_t>(got));
        return true;
    }
    std::string take(std::size_t count)
    {
        while (m_rest.size() < count && readMore()) { }
        std::string bytes = m_rest.substr(0, count);
        m_rest.erase(0, bytes.size());
        return bytes;
    }

private:
    int m_socket = -1;
    std::string m_rest;
};

struct message
{
    std::string firstLine;
    std::map<std::string, std::string> fields;
    std::string body;
    // The body's bytes that came, and whether all did.
    std::size_t bodyBytes = 0;
    bool isComplete = false;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const
    {
        const std::size_t blank = firstLine.find(' ');
        return blank == std::string::npos ? 0 : std::atoi(firstLine.c_str() + blank);
    }
};

inline bool readChunks(connection &from, message &into)
{
    for (;;) {
        const auto sizeLine = from.readLine();
        if (!sizeLine)
            return false;
        const std::size_t size = std::strtoul(sizeLine->c_str(), nullptr, 16);
        if (size == 0)
            return from.readLine().has_value();
        const std::size_t got = from.skip(size);
        into.bodyBytes += got;
        if (got < size || !from.readLine())
            return false;
    }
}

// Reads one request or response. Keeps bodies up to 64 KiB, of others only their size.
inline std::optional<message> readMessage(connection &from)
{
    message result;
    const auto first = from.readLine();
    if (!first)
        return std::nullopt;
    result.firstLine = *first;
    for (;;) {
        const auto line = from.readLine();
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const std::size_t colon = line->find(':');
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        result.fields[name] = value == std::string::npos ? "" : line->substr(value);
    }
    if (result.field("transfer-encoding") == "chunked") {
        result.isComplete = readChunks(from, result);
        return result;
    }
    const std::size_t length = std::strtoul(result.field("content-length").c_str(), nullptr, 10);
    if (length <= 65'536)
        result.body = from.take(length);
    result.bodyBytes = length <= 65'536 ? result.body.size() : from.skip(length);
    result.isComplete = result.bodyBytes == length;
    return result;
}

// One call on a connection of its own. Nothing if there is no complete answer in time.
inline std::optional<message> call(const endpoint &to, const std::string &method,
                                   const std::string &path, const std::string &body = {},
                                   milliseconds limit = milliseconds(1'000))
{
    connection link;
    if (!link.open(to, limit))
        return std::nullopt;
    const std::string length = body.empty() && method != "PUT"
        ? std::string()
        : "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n";
    if (!link.send(method + " " + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + length
                   + "\r\n" + body))
        return std::nullopt;
    auto answer = readMessage(link);
    return answer && answer->isComplete ? answer : std::nullopt;
}

// The platform: fills in the settings, starts the programs with the commands of the deploy file,
// and ends them all.
class platform
{
public:
    struct host
    {
        std::string name;
        std::string ip;
        std::string zone;
        bool isControl = false;
        int memoryMb = 256;
        pid_t pid = -1;
    };

    platform(record_file &record, int controls, int entries, int entryMemoryMb)
        : m_record(record)
    {
        std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
        m_folder = ::mkdtemp(pattern.data());
        std::random_device random;
        m_net = "127." + std::to_string(20 + random() % 200) + ".";
        for (int i = 0; i < controls; ++i)
            hosts.push_back({"control-" + std::to_string(i + 1), address(i % 3, 1 + i / 3),
                             m_zones.at(i % 3), true, 256, -1});
        for (int i = 0; i < entries; ++i)
            hosts.push_back({"entry-" + std::to_string(i + 1), address(i % 3, 101 + i / 3),
                             m_zones.at(i % 3), false, entryMemoryMb, -1});
        chooseFreePorts();
        for (host &each : hosts)
            start(each);
    }
    ~platform()
    {
        for (host &each : hosts)
            end(each, SIGKILL);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    platform(const platform &) = delete;
    platform &operator=(const platform &) = delete;

    // An address in the zone with this number.
    [[nodiscard]] std::string address(int zone, int number) const
    {
        return m_net + std::to_string(zone + 1) + "." + std::to_string(number);
    }
    [[nodiscard]] const std::string &zone(int number) const { return m_zones.at(number); }
    [[nodiscard]] endpoint traffic(const host &of) const { return {of.ip, m_port}; }
    [[nodiscard]] endpoint ready(const host &of) const { return {of.ip, m_port + 1}; }
    [[nodiscard]] endpoint control(const host &of) const { return {of.ip, m_port + 3}; }
    [[nodiscard]] std::vector<endpoint> controls() const
    {
        std::vector<endpoint> result;
        for (const host &each : hosts) {
            if (each.isControl)
                result.push_back(control(each));
        }
        return result;
    }
    host &entry(int number) { return hosts.at(controls().size() + number); }

    void start(host &which)
    {
        const std::string settings = writeSettings(which);
        const std::string role = which.isControl ? "control" : "entry";
        const pid_t parent = ::getpid();
        which.pid = ::fork();
        if (which.pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int log = ::open((m_folder + "/" + which.name + ".log").c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("KINGCUPTILLER_SETTINGS", settings.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
        const char *const program = "target/bin/kingcuptiller-platform";
        ::execl(program, program, role.c_str(), nullptr);
        ::_exit(127);
    }
    // Sends a signal that ends the process and waits for its end.
    static void end(host &which, int signal)
    {
        if (which.pid <= 0)
            return;
        ::kill(which.pid, SIGCONT);
        ::kill(which.pid, signal);
        ::waitpid(which.pid, nullptr, 0);
        which.pid = -1;
    }
    [[nodiscard]] static bool runs(const host &which)
    {
        return which.pid > 0 && ::waitpid(which.pid, nullptr, WNOHANG) == 0;
    }
    // Resident memory of the process in MiB.
    [[nodiscard]] static int memoryMb(const host &which)
    {
        std::ifstream status("/proc/" + std::to_string(which.pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atoi(line.c_str() + 6) / 1'024;
        }
        return 0;
    }
    // Waits until all entries say that they are ready.
    bool waitUntilReady(milliseconds limit)
    {
        const auto until = steady::now() + limit;
        for (const host &each : hosts) {
            while (!each.isControl) {
                const auto answer = call(ready(each), "GET", "/v1/ready");
                if (answer && answer->status() == 200)
                    break;
                if (steady::now() > until)
                    return false;
                pauseFor(milliseconds(50));
            }
        }
        return true;
    }

    std::vector<host> hosts;

private:
    // Ports below those that the kernel gives to outgoing connections.
    void chooseFreePorts()
    {
        std::random_device random;
        for (int tries = 0; tries < 200; ++tries) {
            m_port = 15'000 + static_cast<int>(random() % 1'600) * 10;
            bool areFree = true;
            for (const host &each : hosts) {
                for (int port = m_port; port < m_port + 6 && areFree; ++port) {
                    const int listener = bindSocket({each.ip, port});
                    areFree = listener >= 0;
                    if (listener >= 0)
                        ::close(listener);
                }
            }
            if (areFree)
                return;
        }
        throw std::runtime_error("no free ports");
    }
    std::string writeSettings(const host &of)
    {
        const auto at = [&](int offset) { return of.ip + ":" + std::to_string(m_port + offset); };
        const bool entry = !of.isControl;
        std::string seeds;
        for (const endpoint &each : controls())
            seeds += (seeds.empty() ? "" : ",") + each.text();
        const std::string data = m_folder + "/" + of.name + "-data";
        const bool founding = !std::filesystem::exists(data);
        const std::string path = m_folder + "/" + of.name + ".ini";
        std::ofstream file(path, std::ios::trunc);
        file << "[host]\nname = " << of.name << "\naddress = " << of.ip << "\nzone = " << of.zone
             << "\nregion = r-" << of.zone << "\n[places]\nzones =\n";
        for (const std::string &zone : m_zones)
            file << "  " << zone << "=r-" << zone << ",\n";
        file << "[listen]\ntraffic = " << (entry ? at(0) : "")
             << "\nready = " << (entry ? at(1) : "") << "\ncontrol = " << (entry ? "" : at(3))
             << "\ndirectory = " << (entry ? at(2) : "") << "\nmetrics = " << at(4)
             << "\ninternal_port = " << m_port + 5 << "\n[control]\nseeds = " << seeds
             << "\nfounding = " << (founding ? "true" : "false")
             << "\ndata_folder = " << (entry ? "" : data)
             << "\n[process]\nshutdown_limit = 6 s\nmemory = " << of.memoryMb
             << " MiB\ndescriptors = 4100\n[directory]\nlongest_lifetime = 5 s\n"
                "[retries]\nshare = 0.2\nslack = 64\nwindow = 10 s\n[accounts]\n"
                "[steering]\nlargest_shift = 0.15\n";
        return path;
    }

    record_file &m_record;
    std::string m_folder;
    std::string m_net;
    int m_port = 0;
    const std::vector<std::string> m_zones = {"east", "west", "north"};
};

struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 4'000;
};

inline std::string manifest(int version, int base, const std::vector<route> &routes)
{
    const auto versionText = [](int number) {
        return number == 0 ? std::string("0") : "\"r" + std::to_string(number) + "\"";
    };
    std::string resources;
    for (const route &each : routes) {
        resources += R"({"resourceKind":"routes","metadata":{"name":")" + each.name
            + R"("},"spec":{"host":"shop.example","pathPrefix":")" + each.prefix + R"(","kind":")"
            + each.kind + R"(","timeoutMs":)" + std::to_string(each.timeoutMs)
            + R"(,"targetLatencyMs":600,"priority":1,"service":")" + each.service
            + R"(","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]}},)"
            + R"({"resourceKind":"services","metadata":{"name":")" + each.service
            + R"("},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1",)"
              R"("tls":false,"coldStartS":0.0,"coldPerS":8.0}},)";
    }
    return R"({"version":)" + versionText(version) + R"(,"baseVersion":)" + versionText(base)
        + R"(,"resources":[)" + resources
        + R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
}

// Sends an order to one control host after the other until it is acknowledged.
inline bool order(record_file &record, const std::vector<endpoint> &controls,
                  const std::string &method, const std::string &path, const std::string &body = {})
{
    for (std::size_t i = 0; i < 60; ++i) {
        const auto answer = call(controls.at(i % controls.size()), method, path, body);
        if (answer && answer->status() == 200) {
            record.line(method + " " + path + " acknowledged by "
                        + controls.at(i % controls.size()).text());
            return true;
        }
        pauseFor(milliseconds(100));
    }
    record.line(method + " " + path + " not acknowledged");
    return false;
}

// An upstream. It runs each request that arrives whole, after `work`, and answers with its receipt.
// Made with `new` and never destroyed: its threads run until the end of the script.
class upstream
{
public:
    struct run
    {
        std::int64_t atMs = 0;
        std::string request;
        std::string line;
        std::size_t bodyBytes = 0;
    };

    upstream(record_file &record, std::string id, std::string service, const std::string &ip,
             std::string zone, milliseconds work = milliseconds(10), std::size_t answerBytes = 20)
        : m_record(record)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_work(work)
        , m_answerBytes(answerBytes)
        , m_listener(bindSocket({ip, 0}))
    {
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
        m_address = {ip, ntohs(bound.sin_port)};
        ::listen(m_listener, 512);
        std::thread([this] { acceptAll(); }).detach();
    }
    upstream(const upstream &) = delete;
    upstream &operator=(const upstream &) = delete;

    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::string heartbeat(int sequence, std::int64_t born = 0) const
    {
        return R"({"address":")" + m_address.text() + R"(","info":{"service":")" + m_service
            + R"(","version":"v1","zone":")" + m_zone
            + R"(","slots":9},"status":{"state":"ready","sequence":)" + std::to_string(sequence)
            + R"(,"coldRemainingMs":0})"
            + (born > 0 ? ",\"born\":" + std::to_string(born) : std::string()) + "}";
    }
    bool announce(const std::vector<endpoint> &controls)
    {
        return order(m_record, controls, "PUT", "/v1/instances/" + m_id, heartbeat(++m_sequence));
    }
    // Whether the head of this request has arrived.
    [[nodiscard]] bool hasReceived(const std::string &request) const
    {
        const std::lock_guard lock(m_mutex);
        return m_received.contains(request);
    }
    [[nodiscard]] std::vector<run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }
    void serve(int socket)
    {
        connection link(socket);
        while (const auto request = readMessage(link)) {
            const std::string requestId = request->field("kingcuptiller-attempt-id");
            {
                const std::lock_guard lock(m_mutex);
                m_received.insert(requestId);
            }
            // The bytes of an unfinished request never become work.
            if (!request->isComplete) {
                m_record.line(m_id + " got a part of " + requestId + ": "
                              + std::to_string(request->bodyBytes) + " bytes of its body");
                return;
            }
            const std::string expected = request->field("kingcuptiller-expect-instance");
            if (!expected.empty() && expected != m_id) {
                link.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                          "Kingcuptiller-Instance-Id: "
                          + m_id + "\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back(
                    {m_record.now(), requestId, request->firstLine, request->bodyBytes});
            }
            m_record.line(m_id + " runs " + requestId + ": " + request->firstLine + ", body of "
                          + std::to_string(request->bodyBytes) + " bytes");
            pauseFor(m_work);
            std::string body = "ran " + requestId;
            body.resize(std::max(body.size(), m_answerBytes), '.');
            if (!link.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                           + "\r\nKingcuptiller-Attempt-Id: " + requestId
                           + "\r\nKingcuptiller-Response-Seal: seal." + requestId
                           + "\r\nKingcuptiller-Server-Load: 1,0,9\r\n\r\n" + body))
                return;
        }
    }

    record_file &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    milliseconds m_work;
    std::size_t m_answerBytes;
    int m_listener;
    endpoint m_address;
    int m_sequence = 0;
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
    std::set<std::string> m_received;
};

inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs = 4'000)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nKingcuptiller-Attempt-Id: "
        + id + "\r\nKingcuptiller-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
}

// Runs the script; problems of the setup end it with `not_run`.
inline int play(int argc, char **argv, const std::function<int(record_file &)> &script)
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    if (argc != 2)
        return not_run;
    record_file record(argv[1]);
    record.line(withTrouble() ? "with the disruption" : "without the disruption");
    int status = not_run;
    try {
        status = script(record);
    } catch (const std::exception &failure) {
        record.line(std::string("could not run: ") + failure.what());
    }
    record.line("exit status " + std::to_string(status));
    // The threads of the stand-ins still run; the platform has ended its processes.
    std::fflush(nullptr);
    ::_exit(status);
}

} // namespace review
