package org.wagtaillug.standin.upstream;

/**
 * The answer to {@code GET /load}.
 *
 * @param startedAt when the upstream started, in Unix milliseconds
 * @param reportedAt when {@code running} and {@code waiting} were true, in Unix milliseconds
 * @param running how many requests it worked on
 * @param waiting how many waited
 * @param slots how many it can work on at once
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
