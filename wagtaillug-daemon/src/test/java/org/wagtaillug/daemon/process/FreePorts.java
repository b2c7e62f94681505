package org.wagtaillug.daemon.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates ports for nodes, below the range of ephemeral ports, so that no outgoing connection takes a port between
 * its allocation and the start of the node.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;

    private int next = (int) (ProcessHandle.current().pid() * 97 % PORT_COUNT);

    synchronized int allocate() {
        for (int tried = 0; tried < PORT_COUNT; tried++) {
            next = (next + 1) % PORT_COUNT;
            if (isFree(FIRST_PORT + next)) {
                return FIRST_PORT + next;
            }
        }
        throw new IllegalStateException("no free port from " + FIRST_PORT + " on");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }
}
