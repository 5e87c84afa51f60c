#include "kingcuptiller/cli/operator_command.h"
#include "kingcuptiller/transport/json_rpc_client.h"
#include "kingcuptiller/transport/system_clock.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

#include <cpprest/http_client.h>

#include <csignal>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

// A change is answered when it is in force everywhere, which takes up to the entries' lease.
constexpr milliseconds callLimit{5000};

Json::Value callControl(const endpoint_address &server, const std::string &method,
                        const Json::Value &params)
{
    json_rpc_client client(server);
    return client.call(method, params, callLimit);
}

std::string fetch(const endpoint_address &address, const std::string &path)
{
    web::http::client::http_client_config config;
    config.set_timeout(callLimit);
    try {
        web::http::client::http_client client("http://" + address.text(), config);
        auto response = client.request(web::http::methods::GET, path).get();
        if (response.status_code() != web::http::status_codes::OK)
            throw error(result_code::not_found,
                        fmt::format("{}{} answered with status {}", address.text(), path,
                                    response.status_code()));
        const std::vector<unsigned char> bytes = response.extract_vector().get();
        return {bytes.begin(), bytes.end()};
    } catch (const web::http::http_exception &fault) {
        throw error(result_code::peer_unreachable,
                    fmt::format("{}: {}", address.text(), fault.what()));
    }
}

std::string drawId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

bool confirm(const std::string &question)
{
    std::string answer;
    fmt::print(stderr, "{}", question);
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
}

} // namespace

// The operators' command line; see kingcuptiller --help.
int main(int argc, char **argv)
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const operator_environment environment{
        .callControl = callControl,
        .fetch = fetch,
        .now = readWallTime,
        .pause = [](milliseconds time) { std::this_thread::sleep_for(time); },
        .drawId = drawId,
        .confirm = confirm,
        .print = [](const std::string &text) { fmt::print("{}", text); },
        .printError = [](const std::string &text) { fmt::print(stderr, "{}", text); }};
    return runOperatorCommand({argv + 1, argv + argc}, environment);
}
