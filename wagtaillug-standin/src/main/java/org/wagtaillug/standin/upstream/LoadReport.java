package org.wagtaillug.standin.upstream;

/**
 * The answer to {@code GET /load}.
 *
 * @param startedAt when the upstream started, in Unix milliseconds
 * @param reportedAt when {@code running} and {@code waiting} were measured, in Unix milliseconds
 * @param running the number of requests in progress
 * @param waiting the number of queued requests
 * @param slots the maximum number of requests in progress
 * @param model the loaded model; engines only
 * @param version its version; engines only
 * @param fencingNumber the fencing number of the last order; engines only
 * @param role the engine's role; engines only
 */
record LoadReport(
        long startedAt,
        long reportedAt,
        int running,
        int waiting,
        int slots,
        String model,
        Integer version,
        Long fencingNumber,
        String role) {}
