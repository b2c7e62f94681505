package org.wagtaillug.contract;

import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;

/**
 * How many engines of a pool are to serve a model.
 *
 * @param model the model
 * @param version its version, from 1
 * @param pool the pool of engines
 * @param copies how many engines, at least 1
 */
public record PlacementContract(ModelId model, int version, PoolId pool, int copies) implements Body {}
