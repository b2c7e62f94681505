import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Ports that are free on a group of loopback addresses. */
final class Ports {
    private Ports() {}

    static Node.Ports free(List<String> ips) throws IOException {
        List<Integer> found = new ArrayList<>();
        List<ServerSocket> held = new ArrayList<>();
        while (found.size() < 5) {
            ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName(ips.getFirst()));
            held.add(first);
            boolean free = true;
            for (String ip : ips.subList(1, ips.size())) {
                try {
                    held.add(new ServerSocket(first.getLocalPort(), 1, InetAddress.getByName(ip)));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                found.add(first.getLocalPort());
            }
        }
        for (ServerSocket each : held) {
            each.close();
        }
        return new Node.Ports(found.get(0), found.get(1), found.get(2), found.get(3), found.get(4));
    }
}
