package org.wagtaillug.id;

/**
 * Names one try of one stage of one request, so that a late, doubled or foreign answer is told from the awaited one.
 *
 * @param request the request it belongs to
 * @param stage the stage that is tried
 * @param number counts the attempts of the request, from 1, over all its stages
 */
public record AttemptId(RequestId request, StageId stage, int number) {
    @Override
    public String toString() {
        return request + "/" + stage + "/" + number;
    }
}
