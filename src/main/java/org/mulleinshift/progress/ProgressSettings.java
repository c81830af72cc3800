package org.mulleinshift.progress;

import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.settings.PlatformSettings;

/**
 * What decides where and how progress is stored.
 *
 * @param limits of the store
 * @param maxOperations maximum number of writes of a transaction
 * @param featureGates which stored forms all controllers can read
 * @param logEnabled whether the operators allow the progress log
 */
public record ProgressSettings(
    PlatformSettings.StoreLimits limits,
    int maxOperations,
    FeatureGates featureGates,
    boolean logEnabled) {}
