package org.wagtaillug.id;

/**
 * Identifies one attempt of one stage of a request, to distinguish the expected response from late, duplicate or
 * unrelated ones.
 *
 * @param request the request it belongs to
 * @param stage the stage that is attempted
 * @param number the number of the attempt, counted from 1 over all stages of the request
 */
public record AttemptId(RequestId request, StageId stage, int number) {
    @Override
    public String toString() {
        return request + "/" + stage + "/" + number;
    }
}
