// Stand-ins for the review's scripts: the platform's store, application instances, the platform's
// starter of sidecars, and small HTTP helpers. They follow the users' pages PROTOCOL and DEPLOY.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point beginning = Clock::now();
inline double seconds() { return std::chrono::duration<double> (Clock::now() - beginning).count(); }
inline void pause (int ms) { std::this_thread::sleep_for (Ms (ms)); }

/** The record of what was sent, answered and run. */
class Record
{
public:
    static Record& get() { static Record one; return one; }
    void open (const char* path) { file = std::fopen (path, "w"); }
    void line (const char* format, ...)
    {
        const std::lock_guard lock (mutex);
        if (file == nullptr) return;
        std::fprintf (file, "%9.4f ", seconds());
        va_list arguments;
        va_start (arguments, format);
        std::vfprintf (file, format, arguments);
        va_end (arguments);
        std::fputc ('\n', file);
        std::fflush (file);
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

#define RECORD(...) ::rig::Record::get().line (__VA_ARGS__)

inline sockaddr_in addressOf (const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons (static_cast<std::uint16_t> (port));
    inet_pton (AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool isFree (int port)
{
    const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto any = addressOf ("0.0.0.0", port);
    const bool free = bind (fd, reinterpret_cast<const sockaddr*> (&any), sizeof (any)) == 0;
    close (fd);
    return free;
}

/** A port that is free on every loopback address. */
inline int freePort()
{
    static int next = 11000 + getpid() * 37 % 9000;
    while (! isFree (next)) ++next;
    return next++;
}

inline int listenOn (const std::string& ip, int port)
{
    const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
    const auto address = addressOf (ip, port);
    if (bind (fd, reinterpret_cast<const sockaddr*> (&address), sizeof (address)) != 0 || listen (fd, 512) != 0)
    {
        close (fd);
        return -1;
    }
    return fd;
}

/** Connects within a second, as the pages say of clients. */
inline int connectTo (const std::string& ip, int port)
{
    const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{ 1, 0 };
    setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof (wait));
    const int on = 1;
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
    const auto address = addressOf (ip, port);
    if (connect (fd, reinterpret_cast<const sockaddr*> (&address), sizeof (address)) != 0)
    {
        close (fd);
        return -1;
    }
    const timeval none{ 0, 0 };
    setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof (none));
    return fd;
}

inline bool sendAll (int fd, const char* data, std::size_t size)
{
    while (size > 0)
    {
        const auto count = send (fd, data, size, MSG_NOSIGNAL);
        if (count <= 0) return false;
        data += count;
        size -= static_cast<std::size_t> (count);
    }
    return true;
}

inline bool sendAll (int fd, const std::string& text) { return sendAll (fd, text.data(), text.size()); }

/** A request or an answer. */
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::size_t bodyBytes = 0;

    std::string field (const std::string& name) const
    {
        for (const auto& [key, value] : fields)
            if (strcasecmp (key.c_str(), name.c_str()) == 0) return value;
        return {};
    }

    std::string word (int number) const
    {
        std::istringstream words (start);
        std::string found;
        for (int i = 0; i <= number; ++i) words >> found;
        return found;
    }

    int status() const { return std::atoi (word (1).c_str()); }
};

/** Reads messages of one connection. */
class Reader
{
public:
    explicit Reader (int fdToUse) : fd (fdToUse) {}

    /** @param until  when to give up
        @returns false at the end of the connection, after a reset, or when the time is up */
    bool read (Message& message, Clock::time_point until = Clock::time_point::max(), bool keepBody = true)
    {
        message = {};
        std::size_t end = 0;
        while ((end = buffer.find ("\r\n\r\n")) == std::string::npos)
            if (! fill (until)) return false;
        std::istringstream head (buffer.substr (0, end));
        buffer.erase (0, end + 4);
        std::getline (head, message.start);
        if (! message.start.empty() && message.start.back() == '\r') message.start.pop_back();
        for (std::string line; std::getline (head, line);)
        {
            if (! line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find (':');
            if (colon == std::string::npos) continue;
            auto value = line.substr (colon + 1);
            value.erase (0, value.find_first_not_of (' '));
            message.fields.emplace_back (line.substr (0, colon), value);
        }
        const auto length = message.field ("Content-Length");
        std::size_t left = length.empty() ? 0 : std::strtoull (length.c_str(), nullptr, 10);
        message.bodyBytes = left;
        while (left > 0)
        {
            if (buffer.empty() && ! fill (until)) return false;
            const auto part = std::min (left, buffer.size());
            if (keepBody) message.body.append (buffer, 0, part);
            buffer.erase (0, part);
            left -= part;
        }
        return true;
    }

    bool timedOut = false;
    bool reset = false;

private:
    bool fill (Clock::time_point until)
    {
        if (until != Clock::time_point::max())
        {
            const auto left = std::chrono::duration_cast<std::chrono::nanoseconds> (until - Clock::now()).count();
            const timespec time{ left / 1000000000, left % 1000000000 };
            pollfd input{ fd, POLLIN, 0 };
            if (left <= 0 || ppoll (&input, 1, &time, nullptr) == 0)
            {
                timedOut = true;
                return false;
            }
        }
        static thread_local char piece[262144];
        const auto count = recv (fd, piece, sizeof (piece), 0);
        reset = count < 0;
        if (count <= 0) return false;
        buffer.append (piece, static_cast<std::size_t> (count));
        return true;
    }

    int fd;
    std::string buffer;
};

inline bool peerGone (int fd)
{
    pollfd stream{ fd, POLLRDHUP, 0 };
    return poll (&stream, 1, 0) == 1;
}

/** A server with one thread for each connection. */
class Server
{
public:
    /** @returns false to end the connection */
    std::function<bool (int fd, const Message&)> handle;
    bool keepBodies = true;

    bool start (const std::string& ip, int port)
    {
        listener = listenOn (ip, port);
        if (listener < 0) return false;
        std::thread ([this] { accept(); }).detach();
        return true;
    }

    /** As when the process ends: nothing listens, and every connection ends. */
    void end()
    {
        const std::lock_guard lock (mutex);
        ended = true;
        shutdown (listener, SHUT_RDWR);
        close (listener);
        for (const int fd : open)
        {
            const linger reset{ 1, 0 };
            setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof (reset));
            shutdown (fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        for (;;)
        {
            const int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            const int on = 1;
            setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
            {
                const std::lock_guard lock (mutex);
                if (ended) { close (fd); return; }
                open.insert (fd);
            }
            std::thread (
                [this, fd]
                {
                    Reader reader (fd);
                    Message message;
                    while (reader.read (message, Clock::time_point::max(), keepBodies) && handle (fd, message)) {}
                    const std::lock_guard lock (mutex);
                    open.erase (fd);
                    close (fd);
                })
                .detach();
        }
    }

    int listener = -1;
    std::mutex mutex;
    std::set<int> open;
    bool ended = false;
};

/** The platform's store: listed and watched; only the stand-ins write to it. */
class Store
{
public:
    bool start (const std::string& ip, int port)
    {
        server.handle = [this] (int fd, const Message& message) { return answer (fd, message); };
        return server.start (ip, port);
    }

    void put (const std::string& key, const std::string& value)
    {
        const std::lock_guard lock (mutex);
        auto& item = items[key];
        if (item.created == 0) item.created = revision + 1;
        item.revision = ++revision;
        item.value = value;
        history.push_back ({ revision, itemText (key, item) });
        changed.notify_all();
    }

    void remove (const std::string& key)
    {
        const std::lock_guard lock (mutex);
        if (items.erase (key) == 0) return;
        ++revision;
        history.push_back ({ revision, "{\"private_key\":\"" + key + "\",\"revision\":" + std::to_string (revision) + ",\"gone\":true}" });
        changed.notify_all();
    }

private:
    struct Item { std::uint64_t revision = 0, created = 0; std::string value; };
    struct Event { std::uint64_t revision; std::string text; };

    static std::string base64 (const std::string& bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3)
        {
            unsigned group = 0;
            const auto taken = std::min<std::size_t> (3, bytes.size() - at);
            for (std::size_t i = 0; i < 3; ++i)
                group = group << 8 | (i < taken ? static_cast<unsigned char> (bytes[at + i]) : 0U);
            for (std::size_t i = 0; i < 4; ++i)
                text += i <= taken ? digits[group >> (18 - 6 * i) & 63] : '=';
        }
        return text;
    }

    static std::string itemText (const std::string& key, const Item& item)
    {
        return "{\"private_key\":\"" + key + "\",\"value\":\"" + base64 (item.value) + "\",\"revision\":" + std::to_string (item.revision) +
               ",\"created_at\":" + std::to_string (item.created) + ",\"lease\":0}";
    }

    static std::string parameter (const std::string& target, const std::string& name)
    {
        const auto at = target.find (name + "=");
        if (at == std::string::npos) return {};
        const auto begin = at + name.size() + 1;
        return target.substr (begin, target.find ('&', begin) - begin);
    }

    bool answer (int fd, const Message& message)
    {
        const auto target = message.word (1);
        std::string body;
        std::unique_lock lock (mutex);
        if (target.starts_with ("/v1/kv-range"))
        {
            for (const auto& [key, item] : items) body += (body.empty() ? "" : ",") + itemText (key, item);
            body = "{\"items\":[" + body + "],\"has_more\":false,\"at\":" + std::to_string (revision) + "}";
        }
        else if (target.starts_with ("/v1/kv-watch"))
        {
            const auto after = std::strtoull (parameter (target, "after").c_str(), nullptr, 10);
            const auto wait = std::atoi (parameter (target, "wait_ms").c_str());
            changed.wait_for (lock, Ms (std::min (wait, 30000)), [&] { return revision > after; });
            for (const auto& event : history)
                if (event.revision > after) body += (body.empty() ? "" : ",") + event.text;
            body = "{\"events\":[" + body + "],\"at\":" + std::to_string (revision) + "}";
        }
        else
        {
            lock.unlock();
            return sendAll (fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        lock.unlock();
        return sendAll (fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body);
    }

    Server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::uint64_t revision = 0;
};

/** An application instance: works on `slots` requests at a time and queues a few more. */
class Instance
{
public:
    std::string id, service, ip;
    int port = 0, slots = 6, queue = 24;
    std::function<int (const std::string& path)> workMs; /**< For a path, in ms. */
    std::function<void (const std::string& requestId, const Message&)> onRun;
    std::atomic<int> running{ 0 };

    bool start()
    {
        server.keepBodies = false;
        server.handle = [this] (int fd, const Message& message) { return answer (fd, message); };
        return server.start (ip, port);
    }

    void end() { server.end(); }

    std::string entry (const std::string& zone, const char* state = "ready") const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + std::to_string (port) + "\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string (slots) + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"call_seq\":4}";
    }

private:
    std::string load() const { return "X-Server-Load: " + std::to_string (running.load()) + "," + std::to_string (waiting) + "," + std::to_string (slots) + "\r\n"; }

    bool refuse (int fd, int status, const std::string& requestId, const std::string& more)
    {
        return sendAll (fd, "HTTP/1.1 " + std::to_string (status) + " Refused\r\nX-Request-Id: " + requestId + "\r\n" + more + "X-Not-Executed: 1\r\n" + load() + "Content-Length: 0\r\n\r\n");
    }

    bool answer (int fd, const Message& message)
    {
        const auto path = message.word (1);
        if (path == "/health")
            return sendAll (fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\n" + load() + "Content-Length: 0\r\n\r\n");
        const auto requestId = message.field ("X-Request-Id");
        if (requestId.empty()) return refuse (fd, 400, requestId, "");
        const auto expected = message.field ("X-Expect-Instance");
        if (! expected.empty() && expected != id)
        {
            RECORD ("instance %s: %s expects %s, 421", id.c_str(), requestId.c_str(), expected.c_str());
            return refuse (fd, 421, requestId, "X-Instance-Id: " + id + "\r\n");
        }
        const auto began = Clock::now();
        const auto left = std::atoi (message.field ("X-Deadline-Ms").c_str());
        const auto deadline = left > 0 ? began + Ms (left) : Clock::time_point::max();
        std::unique_lock lock (mutex);
        if (running >= slots)
        {
            if (waiting >= queue) { lock.unlock(); return refuse (fd, 503, requestId, ""); }
            ++waiting;
            while (running >= slots && Clock::now() < deadline) freed.wait_for (lock, Ms (2));
            --waiting;
            if (running >= slots) { lock.unlock(); return refuse (fd, 503, requestId, ""); }
        }
        ++running;
        lock.unlock();
        RECORD ("instance %s runs %s %s %s (caller %s, left %d ms, body %zu)", id.c_str(), requestId.c_str(), message.word (0).c_str(), path.c_str(), message.field ("X-Caller-Service").c_str(), left, message.bodyBytes);
        if (onRun) onRun (requestId, message);
        const auto end = Clock::now() + Ms (workMs ? workMs (path) : 5);
        bool here = true;
        while (here && Clock::now() < std::min (end, deadline))
        {
            const auto rest = std::chrono::ceil<Ms> (std::min (end, deadline) - Clock::now()).count();
            pollfd stream{ fd, POLLRDHUP, 0 };
            here = poll (&stream, 1, static_cast<int> (std::max<std::int64_t> (rest, 1))) == 0;
        }
        {
            const std::lock_guard again (mutex);
            --running;
            freed.notify_all();
        }
        if (! here)
        {
            RECORD ("instance %s: the connection of %s ended during its run", id.c_str(), requestId.c_str());
            return false;
        }
        const int status = Clock::now() < end ? 504 : 200;
        const std::string body = "answer of " + id + " to " + requestId + "\n";
        RECORD ("instance %s answers %s with %d", id.c_str(), requestId.c_str(), status);
        return sendAll (fd, "HTTP/1.1 " + std::to_string (status) + " Answer\r\nX-Request-Id: " + requestId + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + load() +
                                "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body);
    }

    Server server;
    std::mutex mutex;
    std::condition_variable freed;
    int waiting = 0;
};

/** A machine's sidecar, which the platform starts, asks for readiness and starts again. */
class Sidecar
{
public:
    std::string id, ip, zone, service, storeAddress, instanceAddress, zones, program, folder;
    int outbound = 0, inbound = 0, ready = 0, relay = 0, queries = 0;
    std::atomic<pid_t> pid{ 0 };
    std::atomic<int> starts{ 0 }, ownEnds{ 0 };
    std::atomic<bool> isReady{ false };
    std::atomic<bool> stopping{ false };

    void writeSettings() const
    {
        const auto path = settingsPath(), fresh = path + ".new";
        std::FILE* file = std::fopen (fresh.c_str(), "w");
        const auto at = [&] (int port) { return ip + ":" + std::to_string (port); };
        std::fprintf (file,
                      "id = %s\nzone = %s\nservice = %s\noutbound = %s\ninbound = %s\nreadiness = %s\nreadiness-path = /v1/readiness\ninstance = %s\nsource = %s\n"
                      "relay = %s\nload-queries = %s\ncpu-share = 0.2\nlink-mbps = 1000.0\nmetrics = \nchanges-within-ms = 2000\ndrain-within-ms = 2000\n"
                      "entry-heartbeat-ms = 1500\nevacuate-within-ms = \ncold-over = \ncold-slack = \ngrace-s = 6\nretry-ratio = 0.2\nretry-slack = 64\nretry-window-s = 10\n"
                      "header-request-id = X-Request-Id\nheader-deadline = X-Deadline-Ms\nheader-signature = X-Response-Seal\nheader-expect-instance = X-Expect-Instance\n"
                      "header-instance-id = X-Instance-Id\nheader-cold-time = X-Cold-Ms\nheader-not-run = X-Not-Executed\nheader-rate-limit = Server-Limit\n"
                      "header-leaving = Server-Leaving\nheader-caller = X-Caller-Service\nheader-credential = X-Credential\nheader-tenant = X-Tenant\nzone-regions = %s\n"
                      "revoke-within-ms = \nrevoke-fail-closed = \nquota-window-s = \nquota-over = \nquota-slack = \n",
                      id.c_str(), zone.c_str(), service.c_str(), at (outbound).c_str(), at (inbound).c_str(), at (ready).c_str(), instanceAddress.c_str(), storeAddress.c_str(),
                      at (relay).c_str(), at (queries).c_str(), zones.c_str());
        std::fclose (file);
        std::rename (fresh.c_str(), path.c_str());
    }

    std::string settingsPath() const { return folder + "/" + id + ".conf"; }
    std::string logPath() const { return folder + "/" + id + ".log"; }

    /** Starts the process, and starts it again whenever it has ended. */
    void keepRunning()
    {
        writeSettings();
        launch();
        std::thread ([this] { watch(); }).detach();
        std::thread ([this] { askReadiness(); }).detach();
    }

    bool awaitReady (int ms = 15000)
    {
        const auto until = Clock::now() + Ms (ms);
        while (! isReady && Clock::now() < until) pause (20);
        return isReady;
    }

    void end()
    {
        stopping = true;
        const pid_t one = pid;
        if (one > 0) kill (one, SIGKILL);
        for (int i = 0; i < 100 && pid != 0; ++i) pause (10);
    }

    std::function<void (int status)> onOwnEnd;
    std::atomic<bool> killed{ false }; /**< The platform has killed the process, since it used too much memory. */

private:
    void launch()
    {
        const auto log = logPath(), settings = settingsPath();
        const pid_t child = fork();
        if (child == 0)
        {
            prctl (PR_SET_PDEATHSIG, SIGKILL); // It ends with the stand-in.
            const int out = open (log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2 (out, 1);
            dup2 (out, 2);
            execl (program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
            _exit (127);
        }
        pid = child;
        ++starts;
        RECORD ("platform: %s is started (start %d)", id.c_str(), starts.load());
    }

    void watch()
    {
        for (;;)
        {
            int status = 0;
            if (waitpid (pid, &status, 0) < 0) return;
            if (stopping) { pid = 0; return; }
            const bool killedByPlatform = killed.exchange (false);
            ++ownEnds;
            if (WIFSIGNALED (status)) RECORD ("platform: the process of %s ended by signal %d%s", id.c_str(), WTERMSIG (status), killedByPlatform ? " (killed by the platform)" : "");
            else RECORD ("platform: the process of %s ended with %d", id.c_str(), WEXITSTATUS (status));
            if (onOwnEnd) onOwnEnd (status);
            pause (500);
            if (stopping) { pid = 0; return; }
            launch();
        }
    }

    void askReadiness()
    {
        while (! stopping)
        {
            const int fd = connectTo (ip, ready);
            bool good = false;
            if (fd >= 0)
            {
                Reader reader (fd);
                Message answer;
                good = sendAll (fd, "GET /v1/readiness HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n") &&
                       reader.read (answer, Clock::now() + Ms (1000)) && answer.status() == 200;
                close (fd);
            }
            isReady = good;
            pause (good ? 1000 : 100);
        }
    }
};

inline std::string temporaryFolder()
{
    const char* base = std::getenv ("TMPDIR");
    std::string path = std::string (base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    return mkdtemp (path.data());
}

/** A small deployment: a store, and machines with a sidecar and an instance each, in one zone. */
class Deployment
{
public:
    static constexpr const char* zone = "lodz-hall-a";
    std::string folder, block = "127." + std::to_string (1 + getpid() % 200) + ".7.";
    int storePort = freePort(), appPort = freePort(), outbound = freePort(), inbound = freePort(), ready = freePort(), relay = freePort(), queries = freePort();
    Store store;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Sidecar>> machines;

    Instance& add (const std::string& service, const std::string& id, int slots)
    {
        auto& instance = *instances.emplace_back (std::make_unique<Instance>());
        instance.id = id;
        instance.service = service;
        instance.ip = block + std::to_string (instances.size());
        instance.port = appPort;
        instance.slots = slots;
        return instance;
    }

    /** @param routes  the routes of the configuration, joined by commas
        @returns false if something can't be started or doesn't become ready */
    bool start (const std::string& program, const std::string& routes)
    {
        folder = temporaryFolder();
        if (! store.start (block + "100", storePort)) return false;
        std::string services;
        for (const auto& instance : instances)
            services += (services.empty() ? "\"" : ",\"") + instance->service + "\":{\"health_path\":\"/health\",\"max_connections\":130}";
        store.put ("op/config", "{\"version\":\"r7\",\"routes\":{" + routes + "},\"services\":{" + services +
                                    "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");

        for (const auto& instance : instances)
        {
            if (! instance->start()) return false;
            store.put ("servers/" + instance->id, instance->entry (zone));
            auto& machine = *machines.emplace_back (std::make_unique<Sidecar>());
            machine.id = std::string ("sidecar-") + zone + "-" + std::to_string (machines.size());
            machine.ip = instance->ip;
            machine.zone = zone;
            machine.zones = std::string (zone) + "=pl-central";
            machine.service = instance->service;
            machine.storeAddress = block + "100:" + std::to_string (storePort);
            machine.instanceAddress = machine.ip + ":" + std::to_string (appPort);
            machine.outbound = outbound;
            machine.inbound = inbound;
            machine.ready = ready;
            machine.relay = relay;
            machine.queries = queries;
            machine.folder = folder;
            machine.program = program;
        }

        for (auto& machine : machines) machine->keepRunning();
        bool all = true;
        for (auto& machine : machines) all = machine->awaitReady() && all;
        return all;
    }

    /** Ends every process and removes the temporary folder. */
    void end()
    {
        for (auto& machine : machines) machine->end();
        const int removed = std::system (("rm -rf " + folder).c_str());
        (void)removed;
    }
};

inline std::string route (const char* name, const char* prefix, const char* kind, const char* service, int timeoutMs, int targetMs, int priority)
{
    return std::string ("\"") + name + "\":{\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + std::to_string (timeoutMs) +
           ",\"target_latency_ms\":" + std::to_string (targetMs) + ",\"priority\":" + std::to_string (priority) + ",\"service\":\"" + service + "\",\"max_attempts\":2}";
}

inline std::string get (const std::string& path, const std::string& id, int deadlineMs)
{
    return "GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string (deadlineMs) + "\r\n\r\n";
}

inline std::string postHead (const std::string& path, const std::string& id, int deadlineMs, std::size_t bytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string (deadlineMs) + "\r\nContent-Length: " + std::to_string (bytes) + "\r\n\r\n";
}

/** Clients that send one request after the other on a connection that they keep, through one machine to a
    sound instance beside another. Counts the requests that had been passed on to the instance, on a connection
    that had answered before, when that connection ended without an answer. */
class KeptClients
{
public:
    std::atomic<int> served{ 0 }, lost{ 0 };

    /** @param apartMs  time between the starts of two clients */
    KeptClients (Sidecar& machineToUse, Instance& instance, int count, std::string pathToUse, int apartMs = 0)
        : machine (machineToUse), path (std::move (pathToUse))
    {
        instance.onRun = [this] (const std::string& id, const Message&)
        {
            const std::lock_guard lock (mutex);
            begun.insert (id);
        };
        for (int c = 0; c < count; ++c)
            threads.emplace_back (
                [this, c, apartMs]
                {
                    pause (c * apartMs);
                    run (c);
                });
    }

    void end()
    {
        stop = true;
        for (auto& thread : threads) thread.join();
    }

private:
    void run (int client)
    {
        for (int number = 0; ! stop;)
        {
            const int fd = connectTo (machine.ip, machine.outbound);
            if (fd < 0)
            {
                pause (100);
                continue;
            }
            Reader reader (fd);
            for (int before = 0; ! stop; ++before)
            {
                const auto id = "kept-" + std::to_string (client) + "-" + std::to_string (number++);
                Message answer;
                if (sendAll (fd, get (path, id, 2500)) && reader.read (answer, Clock::now() + Ms (2500)))
                {
                    RECORD ("client: %s got %d", id.c_str(), answer.status());
                    ++served;
                    if (answer.field ("Connection") == "close") break;
                    continue;
                }
                if (reader.timedOut)
                {
                    RECORD ("client: %s got no answer until its deadline", id.c_str());
                    break;
                }
                const std::lock_guard lock (mutex);
                const bool counts = before > 0 && begun.contains (id);
                RECORD ("client: the connection of %s ended without an answer%s", id.c_str(), counts ? "; the request had been passed on to a sound instance" : "");
                lost += counts;
                break;
            }
            close (fd);
        }
    }

    Sidecar& machine;
    std::string path;
    std::atomic<bool> stop{ false };
    std::mutex mutex;
    std::set<std::string> begun;
    std::vector<std::thread> threads;
};

} // namespace rig
