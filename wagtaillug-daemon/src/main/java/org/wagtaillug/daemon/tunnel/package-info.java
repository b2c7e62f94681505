/**
 * Tunnels: forward connections to upstreams for peers that cannot connect to them, and use such tunnels of peers.
 *
 * <p>A node opens a connection to a peer, names the upstream and waits for a status byte. From then on its bytes are
 * forwarded unchanged. Bytes of the upstream are forwarded in frames with their length, and an empty frame marks the
 * orderly end of the upstream's connection: without it, an answer that ends with its connection would look complete
 * when the peer fails.
 */
package org.wagtaillug.daemon.tunnel;
