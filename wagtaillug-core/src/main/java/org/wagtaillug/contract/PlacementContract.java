package org.wagtaillug.contract;

import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;

/**
 * The number of engines of a pool that have to serve a model.
 *
 * @param model the model
 * @param version its version, from 1
 * @param pool the pool of engines
 * @param copies the number of engines, at least 1
 */
public record PlacementContract(ModelId model, int version, PoolId pool, int copies) implements Body {}
