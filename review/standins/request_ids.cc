// Review case 3. Clients whose request ids hold signs that a header value may hold, such as ';' or a blank.
// usage: request_ids RECORD SIDECAR TROUBLE; ends with 1 if UNASKED is broken, 0 if not, 2 if it couldn't run.
#include "rig.h"

using namespace rig;

int main (int argc, char** argv)
{
    if (argc < 4) return 2;
    signal (SIGPIPE, SIG_IGN);
    Record::get().open (argv[1]);
    const bool trouble = std::string (argv[3]) != "0";
    Deployment mesh;
    mesh.add ("huvo11a", "i-7f3a91c2", 6);
    auto& ledger = mesh.add ("wuno96b", "i-02d9e6b4", 6);
    std::mutex mutex;
    std::set<std::string> sent;
    int unasked = 0, runs = 0, foreign = 0;
    ledger.onRun = [&] (const std::string& id, const Message&)
    {
        const std::lock_guard lock (mutex);
        ++runs;
        if (sent.contains (id)) return;
        ++unasked;
        RECORD ("no client has sent the id %s", id.c_str());
    };

    if (! mesh.start (argv[2], route ("r-2b9wu3f", "/pufi791/", "non_idempotent", "wuno96b", 2500, 400, 1)))
    {
        mesh.end();
        std::fprintf (stderr, "the deployment didn't start\n");
        return 2;
    }

    pause (3500);
    auto& node = *mesh.machines[0];
    const int fd = connectTo (node.ip, node.outbound);
    Reader reader (fd);
    int answered = 0;

    for (int number = 0; number < 40; ++number)
    {
        char plain[64], traced[128];
        std::snprintf (plain, sizeof (plain), "9c41d07be2a3%04x", number);
        std::snprintf (traced, sizeof (traced), number % 2 == 0 ? "Root=1-67891233-abcdef0123456789123%05x;Sampled=1" : "order 4711 try %d", number);
        const std::string id = trouble ? traced : plain;
        {
            const std::lock_guard lock (mutex);
            sent.insert (id);
        }
        RECORD ("client: sends %s", id.c_str());
        Message answer;
        if (! sendAll (fd, postHead ("/pufi791/2f", id, 2500, 4) + "data") || ! reader.read (answer, Clock::now() + Ms (2500))) break;
        ++answered;
        RECORD ("client: %s got %d with the id %s", id.c_str(), answer.status(), answer.field ("X-Request-Id").c_str());
        foreign += answer.status() == 200 && answer.field ("X-Request-Id") != id;
    }

    close (fd);
    const auto text = std::to_string (answered) + " requests answered, " + std::to_string (runs) + " run, " + std::to_string (unasked) +
                      " under an id that no client had sent (one breaks UNASKED); answers under another id: " + std::to_string (foreign);
    RECORD ("%s", text.c_str());
    std::printf ("%s\n", text.c_str());
    std::fflush (stdout);
    mesh.end();
    _exit (unasked > 0 ? 1 : answered > 0 ? 0 : 2);
}
