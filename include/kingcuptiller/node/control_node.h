#pragma once

#include "kingcuptiller/accounts/account_quota_pool.h"
#include "kingcuptiller/consensus/replica.h"
#include "kingcuptiller/fleet/fleet_control.h"
#include "kingcuptiller/node/frame_connection.h"
#include "kingcuptiller/relay/http_types.h"
#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/storage/replica_store.h"
#include "kingcuptiller/telemetry/counters.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller {

struct control_node_options
{
    // The IP address at which the other hosts reach this one; also its id.
    host_id host;
    // All control hosts listen on this port.
    unsigned short port = 0;
    // Control hosts that were known when the settings were written.
    std::vector<host_id> seeds;
    // The fleet starts for the first time: the seeds form it.
    bool founding = false;
    std::string dataFolder;
    // Opens the data folder; see `posixDisk`.
    std::function<disk(const std::string &folder)> openDisk = posixDisk;
    // How long the host waits before it opens its data folder again after a failed write.
    milliseconds reopenInterval{200};
    std::size_t maximumVoters = 5;
    replica_settings replicas;
    fleet_control_options fleet;
    // How long a call waits for the leader; below the second after which callers go elsewhere.
    milliseconds callLimit{900};
    // How long a host waits, before it passes on a call without an order number, for the news that
    // the caller has given up: a request that a partition held up arrives one round trip earlier
    // than the end of its connection.
    milliseconds abandonmentDelay{150};
    // Views are sent to entries at most this often.
    milliseconds viewInterval{80};
    milliseconds tickInterval{50};
    // How long a host goes on reading input that is ready before it writes what it has read to the
    // disk; longer, up to the tick interval, if the last round took longer. So a host under load
    // does not spend more than half of its time on rounds.
    milliseconds gatherLimit{10};
    // How often the timeouts of calls, upstreams and entries are checked.
    milliseconds timeoutCheckInterval{100};
    // How often a host reports to the leader whose heartbeats it has answered.
    milliseconds heartbeatReportInterval{500};
    // Limits of the bytes of frames that have arrived in part, and of the connections that other
    // hosts and entries have opened.
    std::uint64_t heldFrameBytes = std::uint64_t{64} * 1024 * 1024;
    std::size_t maximumConnections = 4'096;
    // A connection on which no frame has arrived for this long after it was opened is closed.
    milliseconds firstFrameLimit{3'000};
    quota_tolerance quota;
    // Reads the client accounts in a configuration as operators write it. Throws `error` with
    // `change_malformed`. Empty if the deployment has no accounts.
    std::function<std::vector<client_account>(const std::string &document)> decodeAccounts{};
    std::function<instant()> now;
    std::function<std::uint64_t()> random;
};

// A control host: a replica of the fleet's state, its connections to the other control hosts and to
// entries. Calls may come to any control host, which passes them on to the leader. All of it runs
// in the thread that runs `context`; that is the thread of the control state.
//
// Each round of work syncs the log once. Commands that are ready at the same time are read first
// and share that sync: one at a time, 1,500 registrations would take as many syncs.
//
// When the disk refuses a write, for example because it is full, what the files hold is unknown.
// The host then closes its replica, as if the process had ended, and opens it again from the files
// until that succeeds. Meanwhile it answers calls with `not_leader` and reports to entries that
// it is not current.
class control_node
{
public:
    // Opens the data folder and listens. Throws `error` with `port_unavailable` or a code of the
    // data folder.
    control_node(boost::asio::io_context &context, control_node_options options,
                 counter_registry &counters);
    ~control_node();
    control_node(const control_node &) = delete;
    control_node &operator=(const control_node &) = delete;

    // Returns whether the caller of a call still waits for its answer.
    using caller_check = std::function<bool()>;

    // The answers to calls; a call that gets no answer in time is `change_outcome_unknown`.
    [[nodiscard]] boost::asio::awaitable<result_code> submitCommand(fleet_command command);
    // Starts or ends the evacuation of a zone. The order itself has no number, so it is given the
    // number of orders that preceded it while its caller was waiting. A copy that is delayed on its
    // way to the leader, or whose caller has turned to another host, cannot undo a newer order.
    [[nodiscard]] boost::asio::awaitable<result_code> orderEvacuation(zone_name zone, bool evacuate,
                                                                      caller_check isWaiting);
    [[nodiscard]] boost::asio::awaitable<result_code> announce(upstream_incarnation life);
    // Marks the present incarnation of an upstream as ended. Like the order of an evacuation, the
    // message has no number, and gets the start time of the incarnation that is known while its
    // caller waits.
    [[nodiscard]] boost::asio::awaitable<result_code> withdraw(upstream_id id,
                                                               caller_check isWaiting);
    // Prepares for the end of the process: calls that other hosts pass on from now on are answered
    // with `not_leader`, so that their callers ask again at once.
    void leave();
    // Whether calls that other hosts have passed on wait for their answers.
    [[nodiscard]] bool hasOpenPeerCalls() const { return m_openPeerCalls.use_count() > 1; }
    // The newest configuration as it was sent; nothing when this host cannot be sure of it.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> readDocument();

private:
    struct call_answer
    {
        result_code code = result_code::change_outcome_unknown;
        std::string body;
    };
    using call_reply = std::function<void(const call_answer &)>;

    // A call that another host asked for or that is asked of the leader.
    struct call_text
    {
        std::string operation;
        std::string body;
    };

    // A connection to another control host that carries this host's frames.
    struct peer_link
    {
        std::shared_ptr<frame_connection> connection;
        bool dialling = false;
        instant dialAgain;
    };

    // An entry that is told of changes, and the view that it has once it has read all that was
    // sent.
    struct entry_feed
    {
        std::shared_ptr<frame_connection> connection;
        revision_number version;
        std::uint64_t appliedCommands = 0;
    };

    // A connection on which no frame has arrived yet.
    struct silent_connection
    {
        std::weak_ptr<frame_connection> connection;
        instant openedAt;
    };

    // From which state a view leads to which.
    struct view_span
    {
        std::uint64_t since = 0;
        revision_number sinceVersion;
        std::uint64_t appliedCommands = 0;
        std::vector<replica_identity> voters;

        bool operator==(const view_span &) const = default;
    };

    // The view that was encoded last.
    struct encoded_view
    {
        view_span span;
        std::string body;
    };

    void openReplica(bool founding);
    std::unique_ptr<replica_store> openStore(bool founding);
    // Runs `action`. When the disk fails in it, closes the replica.
    void guardDisk(const std::function<void()> &action);
    void closeReplica(const std::string &reason);
    // Opens the replica again once the interval since the failure is over.
    void reopenReplica();
    void round();
    void runReplica();
    // Starts a round as soon as all input that is ready has been read.
    void scheduleRound();
    void gatherInput();
    void scheduleTick();
    void noteTick(instant now);
    void followLeadership();
    void noteEvents();
    void updateGauges();
    void sendOutgoing();

    // control_links.cpp
    boost::asio::awaitable<void> acceptAll();
    // Whether another connection may be accepted; closes a silent one if that makes room.
    [[nodiscard]] bool makeRoom();
    void noteSpoken(const std::shared_ptr<frame_connection> &connection);
    void closeSilentConnections();
    boost::asio::awaitable<void> dial(host_id host);
    void noteHost(const host_id &host);
    void dialPeers();
    void sendTo(const host_id &host, frame_kind kind, const std::string &body);
    void introduce(frame_connection &connection);
    void receive(const std::shared_ptr<frame_connection> &connection, const frame &received);
    void noteIntroduction(const std::string &body);
    void notePresence(const std::shared_ptr<frame_connection> &connection, const std::string &body);
    void passOnPresence(const std::string &entry);
    // Passes a request of an entry for credits on to the leader, and its answer back.
    void noteCreditRequest(const std::shared_ptr<frame_connection> &connection,
                           const std::string &body);
    void sendViews();
    void sendView(entry_feed &feed);

    // control_calls.cpp
    boost::asio::awaitable<call_answer> call(call_text text);
    // Makes a call that depends on the order of arrival. `makeText` reads the state on which the
    // call is based; the leader answers `revision_conflict` if that has changed meanwhile, and the
    // call is then made again while its caller waits.
    boost::asio::awaitable<result_code> callInOrder(std::function<call_text()> makeText,
                                                    caller_check isWaiting);
    // Whether the process was suspended a moment ago. Calls that it reads now may have arrived long
    // before.
    [[nodiscard]] bool wasSuspended(instant now) const;
    void answerHere(const call_text &text, const call_reply &done);
    // Takes over the accounts of the present configuration.
    void updateQuotaPool(instant now);
    [[nodiscard]] call_answer grantCredits(const std::string &body, instant now);
    void passOn(const call_text &text, const call_reply &done);
    void noteCall(const std::string &body);
    void noteReply(const std::string &body);
    void expireCalls();
    // Names the heartbeats and presences that changed nothing to the leader.
    void reportHeartbeats();

    boost::asio::io_context &m_context;
    control_node_options m_options;
    counter_registry &m_counters;
    // Both are null after the disk has failed.
    std::unique_ptr<replica_store> m_store;
    std::unique_ptr<replica> m_replica;
    instant m_reopenTime;
    std::unique_ptr<fleet_control> m_control;
    epoch_number m_leadingTerm;
    // In use while this host leads.
    account_quota_pool m_quotaPool;
    // The configuration whose accounts are in the pool.
    revision_number m_quotaVersion;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_tick;
    instant m_lastTick;
    // When the process ran again after it had been suspended.
    std::optional<instant> m_resumedAt;
    bool m_roundScheduled = false;
    // Since the last pass of the event loop for the scheduled round.
    bool m_inputArrived = false;
    int m_passesWithoutInput = 0;
    instant m_gatherEnd;
    // Of the last round.
    microseconds m_roundDuration{0};
    instant m_timeoutCheckTime;
    // The state held everything that the present leader knows at the end of the last round.
    bool m_current = false;
    instant m_viewsDue;
    encoded_view m_newestView;
    counter &m_viewsEncoded;

    std::map<host_id, peer_link> m_peers;
    std::map<frame_connection *, entry_feed> m_entries;
    std::set<std::shared_ptr<frame_connection>> m_accepted;
    // Those on which no frame has arrived yet, in the order in which they were opened.
    std::deque<silent_connection> m_silent;
    byte_budget m_heldFrames;

    struct waiting_call
    {
        call_reply done;
        instant until;
    };
    // The latest heartbeats of upstreams that were answered here since the last report to the
    // leader, and the entries that were present.
    std::map<upstream_id, heartbeat_number> m_answeredHeartbeats;
    std::set<endpoint_address> m_presentEntries;
    instant m_heartbeatReportTime;
    bool m_leaving = false;
    // Shared by the calls that other hosts have passed on and that have no answer yet.
    std::shared_ptr<const char> m_openPeerCalls = std::make_shared<const char>();
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, waiting_call> m_calls;
};

} // namespace kingcuptiller
