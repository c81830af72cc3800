package org.mulleinshift.protocol;

/**
 * Field names of the JSON messages. They are fixed by the APIs that controllers serve and call; the
 * rest of the code uses the term in the name of the constant.
 */
final class WireNames {
  // Jobs, as users submit and query them.

  /** Id of a job or name of a machine. */
  static final String ID = "ref";

  /** Class of a job: jobs of a class share service-level objectives. */
  static final String JOB_CLASS = "lane";

  /** Team whose quota a job counts against. */
  static final String TEAM = "crew";

  /** A job's {@link JobKind}. */
  static final String JOB_KIND = "shape";

  /** A job's {@link Priority}. */
  static final String PRIORITY = "urgency";

  /** Number of a job's tasks; in a heartbeat, the list of tasks on the machine. */
  static final String TASKS = "pieces";

  /** Number of CPU cores. */
  static final String CPUS = "cpus";

  /** Number of GPUs. */
  static final String GPUS = "cards";

  /** Memory in GB. */
  static final String MEMORY_GB = "ram_gb";

  /** Image that must be on a machine before a task can start there. */
  static final String IMAGE = "bundle";

  /** Size of the image in GB. */
  static final String IMAGE_GB = "pull_gb";

  /** Machine types: those that a job allows, or those of the catalog. */
  static final String MACHINE_TYPES = "builds";

  /** Zone: the only one that a job allows, or that of a machine. */
  static final String ZONE = "yard";

  /** Whether all tasks of a job must be in one zone. */
  static final String SINGLE_ZONE = "same_place";

  /** Whether at most half of a job's tasks may be in one zone. */
  static final String SPREAD = "spread";

  /** Whether a job may use spot machines, or a machine is one. */
  static final String SPOT = "loaner";

  /** The user's estimate of a task's run time. */
  static final String ESTIMATE_SECONDS = "guess_s";

  /** Interval between a task's checkpoints; 0: it saves none. */
  static final String CHECKPOINT_INTERVAL_SECONDS = "snapshot_s";

  /** Time that a task needs to save a checkpoint when it is stopped. */
  static final String SAVE_SECONDS = "flush_s";

  /** Deadline, relative to the submission. */
  static final String DEADLINE_SECONDS = "due_s";

  /** Jobs that must complete before this one starts. */
  static final String DEPENDENCIES = "awaits";

  /** Phase of a job, a task or a machine. */
  static final String PHASE = "phase";

  /** Number of completed tasks. */
  static final String DONE_TASKS = "done";

  /** Number of running tasks. */
  static final String RUNNING_TASKS = "running";

  /** Why a request was rejected. */
  static final String ERROR = "error";

  // Workers: heartbeats and commands.

  /** Name of the machine that sends a heartbeat. */
  static final String MACHINE = "host";

  /** Address of a machine's worker. */
  static final String ADDRESS = "addr";

  /** Type of a machine. */
  static final String MACHINE_TYPE = "build";

  /** A worker's epoch; increases each time its lease expires. */
  static final String WORKER_EPOCH = "shift";

  /** Increases with each message of a worker. */
  static final String HEARTBEAT_SEQUENCE = "tick";

  /** Fencing token: the highest that a worker has seen, or that of the sender of commands. */
  static final String FENCING_TOKEN = "baton";

  /** Time until the cloud reclaims a spot machine. */
  static final String INTERRUPTION_SECONDS = "recall_s";

  /** Id of a task. */
  static final String TASK = "piece";

  /** Number of an attempt to run a task. */
  static final String ATTEMPT = "try";

  /** Why a task ended. */
  static final String EXIT_CAUSE = "cause";

  /** Commands to a worker. */
  static final String COMMANDS = "orders";

  /** Kind of a command. */
  static final String COMMAND_KIND = "verb";

  /** Grace period in which a stopped task can save a checkpoint. */
  static final String GRACE_SECONDS = "wind_down_s";

  /** Controller that a worker should send its heartbeats to. */
  static final String REDIRECT_NODE = "foreman";

  // The cloud.

  /** Name of a machine type in the catalog. */
  static final String MACHINE_TYPE_NAME = "label";

  /** Zones in which a machine type is offered. */
  static final String ZONES = "yards";

  /** Size of a machine's image cache in GB. */
  static final String IMAGE_CACHE_GB = "local_gb";

  /** Rate at which a machine fetches images. */
  static final String FETCH_GB_PER_SECOND = "pull_gb_per_s";

  /** Price of an on-demand machine per hour. */
  static final String ON_DEMAND_PRICE = "rate";

  /** Price of a spot machine per hour. */
  static final String SPOT_PRICE = "market_price";

  /** Typical time from the provisioning request until a machine is up. */
  static final String BOOT_SECONDS = "startup_s";

  /** Idempotency key of a provisioning request. */
  static final String PROVISIONING_REQUEST = "hire";

  /** Number of machines to provision. */
  static final String MACHINE_COUNT = "how_many";

  /** A list of machines. */
  static final String MACHINES = "hosts";

  /** Time since a machine was requested. */
  static final String AGE_SECONDS = "held_s";

  /** Whether there are further pages. */
  static final String MORE = "more";

  // The key-value store.

  /** A key. */
  static final String KEY = "k";

  /** The value of a key. */
  static final String VALUE = "value";

  /** Revision of a key's last change; 0: the key does not exist. */
  static final String KEY_REVISION = "stamp";

  /** Id of a lease, or of the lease that a key is attached to. */
  static final String LEASE = "hold";

  /** Revision of the whole store. */
  static final String STORE_REVISION = "epoch";

  /** The keys of a page. */
  static final String ITEMS = "rows";

  /** Time to live of a lease. */
  static final String TTL_MILLIS = "ttl_ms";

  /** Conditions of a transaction. */
  static final String COMPARES = "guards";

  /** Writes of a transaction. */
  static final String WRITES = "writes";

  /** Key that is written. */
  static final String PUT = "set";

  /** Key that is deleted. */
  static final String DELETE = "delete";

  /** Changes that a watch returns. */
  static final String CHANGES = "news";

  private WireNames() {}
}
