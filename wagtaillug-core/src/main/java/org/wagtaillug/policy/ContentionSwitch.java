package org.wagtaillug.policy;

/**
 * Whether the policy features for contended or uneven upstreams are in effect on a node. Once they are, they stay so until the
 * node restarts.
 *
 * <pre>{@code
 * if (contention.uses(PolicyFeature.LOAD_VIEW)) {
 *     ...
 * }
 * }</pre>
 */
public final class ContentionSwitch {
    private final Contention setting;
    private final PolicyFeatures features;
    private boolean announced;

    /**
     * Creates a switch for a node to which no upstream has announced anything.
     *
     * @param setting when the features take effect
     * @param features the features in use, once they take effect
     */
    public ContentionSwitch(Contention setting, PolicyFeatures features) {
        this.setting = setting;
        this.features = features;
    }

    /** Creates a switch that is always off. */
    public static ContentionSwitch off() {
        return new ContentionSwitch(Contention.OFF, PolicyFeatures.ALL);
    }

    /** Whether the features are in effect. */
    public boolean active() {
        return switch (setting) {
            case OFF -> false;
            case ANNOUNCED -> announced;
            case ON -> true;
        };
    }

    /** Whether a feature is in use and in effect. */
    public boolean uses(PolicyFeature feature) {
        return active() && features.uses(feature);
    }

    /** Whether an upstream has announced how long its work takes. */
    public boolean announced() {
        return announced;
    }

    /**
     * Records that an upstream has announced how long its work takes, to this node or to another one.
     *
     * @return whether the features take effect by this
     */
    public boolean onAnnounced() {
        boolean before = active();
        announced = true;
        return active() && !before;
    }
}
