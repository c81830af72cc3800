package org.mulleinshift.progress;

import org.mulleinshift.compatibility.FeatureGates;
import org.mulleinshift.settings.PlatformSettings;

/**
 * Settings and limits that decide where and in which form progress is stored.
 *
 * @param limits limits of the key-value store
 * @param maxOperations maximum number of writes of a transaction
 * @param featureGates tell which stored forms all controllers can read
 * @param logEnabled whether the operators' settings allow the progress log
 */
public record ProgressSettings(
    PlatformSettings.StoreLimits limits,
    int maxOperations,
    FeatureGates featureGates,
    boolean logEnabled) {}
