package org.wagtaillug.daemon.tunnel;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.ProxyConfiguration;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.VmId;

/** Sends requests of an HTTP client through tunnels of peers. */
public final class PeerTunnels {
    private final HttpClient client;
    private final int port;
    private final Map<VmId, Proxy> proxies = new ConcurrentHashMap<>();

    /**
     * Creates tunnels for a client.
     *
     * @param port the port on which all nodes accept tunnels
     */
    public PeerTunnels(HttpClient client, int port) {
        this.client = client;
        this.port = port;
    }

    /** Lets a request to an upstream go through a peer. */
    public void route(Request request, VmId peer, Listing upstream) {
        proxies.computeIfAbsent(peer, this::register);
        request.tag(new TunnelRoute(peer, upstream.id(), upstream.incarnation()));
    }

    private Proxy register(VmId peer) {
        Proxy proxy = new Proxy(peer, port);
        client.getProxyConfiguration().addProxy(proxy);
        return proxy;
    }

    private static final class Proxy extends ProxyConfiguration.Proxy {
        private final VmId peer;

        private Proxy(VmId peer, int port) {
            super(new Origin.Address(peer.value(), port), false, null, null);
            this.peer = peer;
        }

        @Override
        public boolean matches(Origin origin) {
            return origin.getTag() instanceof TunnelRoute route && route.peer().equals(peer);
        }

        @Override
        public ClientConnectionFactory newClientConnectionFactory(ClientConnectionFactory connectionFactory) {
            return (endPoint, context) -> new TunnelHandshake(endPoint, context, connectionFactory);
        }
    }
}
