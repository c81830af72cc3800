import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What the users have submitted, and what runs where; records starts and checks the rules. */
final class Jobs {
  /** A job's submission, and how long its tasks run. */
  record Job(Map<String, Object> submission, double runSeconds) {
    double amount(String field) {
      return ((Number) submission.get(field)).doubleValue();
    }
  }

  private final Record record;
  private final Map<String, Job> submitted = new ConcurrentHashMap<>();
  private final Map<String, Double> cancelToldAt = new ConcurrentHashMap<>();
  private final Map<String, String> runningOn = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private int starts;
  private int startsAfterCancel;
  private int ranTwice;
  private double latestStartAfterCancel;

  Jobs(Record record) {
    this.record = record;
  }

  void submit(Map<String, Object> submission, double runSeconds) {
    submitted.put((String) submission.get("ref"), new Job(submission, runSeconds));
  }

  Job find(String piece) {
    int slash = piece.indexOf('/');
    Job job = submitted.get(piece.substring(0, slash));
    return job == null || Integer.parseInt(piece.substring(slash + 1)) >= job.amount("pieces")
        ? null
        : job;
  }

  /** A user has received the answer that the job is cancelled. */
  void cancelTold(String ref) {
    cancelToldAt.putIfAbsent(ref, record.now());
  }

  /** A worker has carried out a command to run the piece. */
  synchronized void commanded(String piece, long attempt, String host) {
    Double told = cancelToldAt.get(piece.substring(0, piece.indexOf('/')));
    if (told != null) {
      startsAfterCancel++;
      latestStartAfterCancel = Math.max(latestStartAfterCancel, record.now() - told);
      record.add(
          "RULE: %s try %d started on %s %.3f s after its user was told that it is cancelled",
          piece, attempt, host, record.now() - told);
    }
  }

  synchronized void started(String piece, long attempt, String host) {
    starts++;
    String other = runningOn.put(piece, host);
    if (other != null && !other.equals(host)) {
      ranTwice++;
      record.add("RULE: %s started on %s while it is on %s", piece, host, other);
    }
    record.add("run: %s try %d on %s", piece, attempt, host);
  }

  synchronized void ended(String piece, long attempt, String host, String cause) {
    runningOn.remove(piece, host);
    if (cause.equals("done")) {
      done.add(piece);
    }
    record.add("end: %s try %d on %s %s", piece, attempt, host, cause);
  }

  synchronized boolean isDone(String piece) {
    return done.contains(piece);
  }

  synchronized int doneCount() {
    return done.size();
  }

  synchronized int starts() {
    return starts;
  }

  synchronized int startsAfterCancel() {
    return startsAfterCancel;
  }

  synchronized double latestStartAfterCancel() {
    return latestStartAfterCancel;
  }

  synchronized int ranTwice() {
    return ranTwice;
  }

  synchronized int running(String ref) {
    int count = 0;
    for (String piece : runningOn.keySet()) {
      count += piece.startsWith(ref + "/") ? 1 : 0;
    }
    return count;
  }
}
