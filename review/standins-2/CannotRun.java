/** The case could not be run, which says nothing about the rule. */
final class CannotRun extends RuntimeException {
  private static final long serialVersionUID = 1L;

  CannotRun(String reason) {
    super(reason);
  }
}
