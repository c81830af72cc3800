import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
 * leaves the disruption out.
 */
abstract class Case {
  private static final int LIMIT_SECONDS = 118;

  /** Whether the disruption is to be made. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  abstract Cluster.Options options();

  /** Returns whether the rule was broken. */
  abstract boolean run(Cluster cluster) throws Exception;

  static void start(Case subject, String[] arguments) {
    int[] code = {2};
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
                System.out.println("could not run: out of time");
                System.exit(2);
              } catch (InterruptedException e) {
                // Not needed.
              }
            });
    watchdog.setDaemon(true);
    watchdog.start();
    try (Cluster cluster = new Cluster(subject.options(), Path.of(arguments[0]))) {
      cluster.record.add("trouble: %s", subject.trouble ? "yes" : "no");
      try {
        cluster.startAll();
        cluster.awaitReady(30);
        boolean broken = subject.run(cluster);
        if (cluster.endedByThemselves > 0) {
          cluster.record.add("note: %d processes ended by themselves", cluster.endedByThemselves);
        }
        code[0] = broken ? 1 : 0;
        cluster.record.add("verdict: %s", broken ? "the rule was broken" : "the rule held");
        System.out.println(broken ? "the rule was broken" : "the rule held");
      } catch (CannotRun e) {
        cluster.record.add("could not run: %s", e.getMessage());
        System.out.println("could not run: " + e.getMessage());
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code[0]);
  }
}
