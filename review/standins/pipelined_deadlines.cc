// Review case 1. An instance turns slow while exports run there: clients that have sent some lookups on one
// connection wait until their deadline and leave. Uploads pass the machine meanwhile, in both modes.
// usage: pipelined_deadlines RECORD SIDECAR TROUBLE; ends with 1 if LOST is broken, 0 if not, 2 if it couldn't run.
#include "rig.h"

using namespace rig;

namespace
{

constexpr int slots = 12, lookWorkMs = 5, exportWorkMs = 240, ledgerWorkMs = 600;
constexpr int slowFactor = 5, slowForMs = 2000; // srv_slow: x = 5, at most 6.5 s.
constexpr int lookDeadlineMs = 500, lookConnections = 12, lookSpreadMs = 60, requestsEach = 4, exports = slots;
constexpr int keptConnections = 20, uploaders = 3;
constexpr std::size_t uploadBytes = 10 << 20;
constexpr int clumps = 42, clumpEveryMs = 2400, connectedMs = 3000;
constexpr int mostLost = 3;

} // namespace

int main (int argc, char** argv)
{
    if (argc < 4) return 2;
    signal (SIGPIPE, SIG_IGN);
    Record::get().open (argv[1]);
    const bool trouble = std::string (argv[3]) != "0";
    Deployment mesh;
    auto& desk = mesh.add ("huvo11a", "i-7f3a91c2", slots);
    auto& ledger = mesh.add ("wuno96b", "i-02d9e6b4", 40);
    std::atomic<int> factor{ 1 };
    desk.workMs = [&] (const std::string& path) { return factor * (path.starts_with ("/expo114/") ? exportWorkMs : lookWorkMs); };
    ledger.workMs = [] (const std::string& path) { return path.starts_with ("/pule252/") ? 5 : ledgerWorkMs; };

    if (! mesh.start (argv[2], route ("r-i9n73hh", "/lohu930/", "idempotent", "huvo11a", lookDeadlineMs, lookDeadlineMs, 2) + "," +
                                   route ("r-5c81kd0", "/expo114/", "idempotent", "huvo11a", 5000, 2500, 2) + "," +
                                   route ("r-2b9wu3f", "/pufi791/", "idempotent", "wuno96b", 2500, 1000, 1) + "," +
                                   route ("r-0t55mzw", "/pule252/", "upload", "wuno96b", 3000, 500, 1)))
    {
        mesh.end();
        std::fprintf (stderr, "the deployment didn't start\n");
        return 2;
    }

    auto& node = *mesh.machines[0];
    const auto connect = [&] { return connectTo (node.ip, node.outbound); };
    KeptClients kept (node, ledger, keptConnections, "/pufi791/2f");
    std::atomic<bool> stop{ false };
    std::atomic<int> left{ 0 }, answered{ 0 }, uploads{ 0 };
    std::vector<std::thread> threads;

    // A light stream of lookups, one after the other.
    threads.emplace_back (
        [&]
        {
            for (int number = 0; ! stop;)
            {
                const int fd = connect();
                if (fd < 0) { pause (100); continue; }
                Reader reader (fd);
                Message answer;
                while (! stop && sendAll (fd, get ("/lohu930/2f", "light-" + std::to_string (number++), lookDeadlineMs)) && reader.read (answer, Clock::now() + Ms (lookDeadlineMs))) pause (20);
                close (fd);
            }
        });

    const std::string manifest (uploadBytes, 'm');

    for (int c = 0; c < uploaders; ++c)
        threads.emplace_back (
            [&, c]
            {
                for (int number = 0; ! stop;)
                {
                    const int fd = connect();
                    if (fd < 0) { pause (100); continue; }
                    Reader reader (fd);
                    Message answer;
                    for (bool good = true; good && ! stop;)
                    {
                        const auto id = "upload-" + std::to_string (c) + "-" + std::to_string (number++);
                        good = sendAll (fd, postHead ("/pule252/2f", id, 3000, manifest.size())) && sendAll (fd, manifest) && reader.read (answer, Clock::now() + Ms (3000));
                        if (good) RECORD ("client: %s got %d", id.c_str(), answer.status());
                        else RECORD ("client: %s got no answer", id.c_str());
                        uploads += good && answer.status() == 200;
                        good = good && answer.field ("Connection") != "close";
                        if (good && answer.status() != 200) pause (50);
                    }
                    close (fd);
                }
            });

    const auto exportOnce = [&] (const std::string& name)
    {
        const int fd = connect();
        if (fd < 0) return;
        Reader reader (fd);
        Message answer;
        const bool whole = sendAll (fd, get ("/expo114/2f", name, 5000)) && reader.read (answer, Clock::now() + Ms (5000));
        RECORD ("client: %s got %s", name.c_str(), whole ? std::to_string (answer.status()).c_str() : "no answer");
        close (fd);
    };

    // Some requests on one connection, sent before the first is answered. The client leaves at its deadline.
    const auto look = [&] (const std::string& name)
    {
        const int fd = connect();
        if (fd < 0) return;
        std::string all, statuses;
        for (int k = 0; k < requestsEach; ++k) all += get ("/lohu930/2f", name + "-" + std::to_string (k), lookDeadlineMs);
        const auto until = Clock::now() + Ms (lookDeadlineMs);
        Reader reader (fd);
        Message answer;
        int got = 0;
        if (sendAll (fd, all))
            for (; got < requestsEach && reader.read (answer, until); ++got) statuses += " " + std::to_string (answer.status());
        answered += got;
        left += got < requestsEach && reader.timedOut;
        RECORD ("client: %s sent %d requests on a connection, got%s%s", name.c_str(), requestsEach, statuses.c_str(),
                got == requestsEach ? "" : reader.timedOut ? "; at its deadline it leaves" : "; the connection ended");
        close (fd);
    };

    pause (connectedMs + 500);

    for (int number = 0; number < clumps && kept.lost <= mostLost; ++number)
    {
        const bool slow = trouble && number % 2 == 1;
        const auto begin = Clock::now();
        const auto name = std::to_string (number);
        RECORD ("clump %d: the instance %s", number, slow ? "turns slow" : "works as usual");
        factor = slow ? slowFactor : 1;
        std::vector<std::thread> users;
        for (int c = 0; c < exports; ++c) users.emplace_back (exportOnce, "export-" + name + "-" + std::to_string (c));
        pause (20);
        for (int c = 0; c < lookConnections; ++c)
        {
            users.emplace_back (look, "look-" + name + "-" + std::to_string (c));
            pause (lookSpreadMs / lookConnections);
        }
        for (auto& user : users) user.join();
        while (Clock::now() < begin + Ms (slowForMs) && kept.lost <= mostLost) pause (20);
        factor = 1;
        while (Clock::now() < begin + Ms (clumpEveryMs) && kept.lost <= mostLost) pause (20);
    }

    pause (500);
    stop = true;
    kept.end();
    for (auto& thread : threads) thread.join();
    const int ends = node.ownEnds, lost = kept.lost;
    const auto text = "the process beside the clients ended by itself " + std::to_string (ends) + " times; passed on to a sound instance and cut: " + std::to_string (lost) + " (more than " +
                      std::to_string (mostLost) + " break LOST); served on kept connections: " + std::to_string (kept.served) + "; lookups answered: " + std::to_string (answered) +
                      "; lookup clients that left: " + std::to_string (left) + "; uploads: " + std::to_string (uploads);
    RECORD ("%s", text.c_str());
    std::printf ("%s\n", text.c_str());
    const int shown = std::system (("grep -h -A1 terminate " + mesh.folder + "/*.log | head -4").c_str());
    (void)shown;
    std::fflush (stdout);
    mesh.end();
    _exit (lost > mostLost ? 1 : kept.served > 0 ? 0 : 2);
}
