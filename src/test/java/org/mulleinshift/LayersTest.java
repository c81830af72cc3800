package org.mulleinshift;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/** Packages depend only on those listed, without cycles; only transport may start threads. */
@AnalyzeClasses(packages = "org.mulleinshift", importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {
  private static final Map<String, List<String>> MAY_USE = new LinkedHashMap<>();

  static {
    MAY_USE.put("settings", List.of());
    MAY_USE.put("transport", List.of());
    MAY_USE.put("protocol", List.of());
    MAY_USE.put("fairness", List.of());
    MAY_USE.put("memory", List.of("transport"));
    MAY_USE.put("store", List.of("protocol", "transport"));
    MAY_USE.put("model", List.of("store", "protocol", "transport"));
    MAY_USE.put("placement", List.of("model", "protocol", "transport"));
    MAY_USE.put("compatibility", List.of("model", "store", "protocol", "transport"));
    MAY_USE.put("membership", List.of("model", "store", "protocol", "transport"));
    MAY_USE.put(
        "sharding",
        List.of(
            "membership",
            "compatibility",
            "placement",
            "model",
            "store",
            "protocol",
            "settings",
            "transport"));
    MAY_USE.put(
        "scheduling",
        List.of(
            "sharding",
            "fairness",
            "compatibility",
            "placement",
            "model",
            "protocol",
            "settings",
            "transport"));
    MAY_USE.put(
        "progress",
        List.of(
            "sharding", "compatibility", "model", "store", "protocol", "settings", "transport"));
    MAY_USE.put(
        "dependencies", List.of("scheduling", "memory", "model", "store", "protocol", "transport"));
    MAY_USE.put(
        "autoscaling",
        List.of(
            "dependencies",
            "scheduling",
            "sharding",
            "membership",
            "memory",
            "placement",
            "model",
            "store",
            "protocol",
            "settings",
            "transport"));
    MAY_USE.put(
        "leader",
        List.of(
            "autoscaling",
            "progress",
            "dependencies",
            "scheduling",
            "sharding",
            "membership",
            "compatibility",
            "placement",
            "model",
            "store",
            "protocol",
            "settings",
            "transport"));
    MAY_USE.put(
        "api",
        List.of(
            "dependencies",
            "placement",
            "memory",
            "model",
            "store",
            "protocol",
            "settings",
            "transport"));
  }

  @ArchTest static final ArchRule LAYERS = layers();

  /** Stricter than the layer rule; the persister and loader in this package may use shards. */
  @ArchTest
  static final ArchRule PROGRESS_LOG =
      ArchRuleDefinition.noClasses()
          .that()
          .haveNameMatching("org\\.mulleinshift\\.progress\\.(ProgressLog|LogSegment)(\\$.*)?")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("..sharding..", "..compatibility..")
          .because("the log is read and written without knowing who owns a shard");

  @ArchTest
  static final ArchRule CYCLES =
      slices().matching("org.mulleinshift.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule THREADS =
      ArchRuleDefinition.noClasses()
          .that()
          .resideInAPackage("org.mulleinshift.*..")
          .and()
          .resideOutsideOfPackage("..transport..")
          .should()
          .accessClassesThat()
          .belongToAnyOf(Thread.class, Executor.class)
          .because("one event-loop thread owns all mutable state");

  private static LayeredArchitecture layers() {
    LayeredArchitecture layers = layeredArchitecture().consideringOnlyDependenciesInLayers();
    for (String layer : MAY_USE.keySet()) {
      layers = layers.layer(layer).definedBy("org.mulleinshift." + layer + "..");
    }
    layers = layers.layer("controller").definedBy("org.mulleinshift.controller..");
    for (Map.Entry<String, List<String>> entry : MAY_USE.entrySet()) {
      String[] used = entry.getValue().toArray(String[]::new);
      layers =
          used.length == 0
              ? layers.whereLayer(entry.getKey()).mayNotAccessAnyLayer()
              : layers.whereLayer(entry.getKey()).mayOnlyAccessLayers(used);
    }
    return layers.whereLayer("controller").mayNotBeAccessedByAnyLayer();
  }
}
