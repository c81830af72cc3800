package org.mulleinshift.controller;

import org.mulleinshift.api.JobApi;
import org.mulleinshift.api.ReadinessProbe;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.sharding.OwnedShards;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.RequestHandler;
import org.mulleinshift.transport.Responder;

/** Routes HTTP requests to their handlers by path; refuses unknown paths and wrong methods. */
final class RequestRouter implements RequestHandler {
  private static final String READINESS_PATH = "/ready";

  /** Appended to a job's path to cancel the job. */
  private static final String CANCEL_SUFFIX = "/withdraw";

  private static final String GET = "GET";
  private static final String POST = "POST";

  private final OwnedShards ownedShards;
  private final JobApi jobApi;
  private final ReadinessProbe readiness;

  /**
   * Creates a router.
   *
   * @param ownedShards handles heartbeats of workers
   * @param jobApi handles requests of users
   * @param readiness handles the load balancer's health checks
   */
  RequestRouter(OwnedShards ownedShards, JobApi jobApi, ReadinessProbe readiness) {
    this.ownedShards = ownedShards;
    this.jobApi = jobApi;
    this.readiness = readiness;
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    if (path.equals(WorkerCodec.HEARTBEAT_PATH)) {
      handleOnly(POST, method, responder, () -> ownedShards.onHeartbeat(body, responder));
    } else if (path.equals(JobCodec.JOBS_PATH)) {
      handleOnly(POST, method, responder, () -> jobApi.submit(body, responder));
    } else if (path.startsWith(JobCodec.JOBS_PATH + "/")) {
      handleJob(method, path.substring(JobCodec.JOBS_PATH.length() + 1), responder);
    } else if (path.equals(READINESS_PATH)) {
      handleOnly(GET, method, responder, () -> readiness.respond(responder));
    } else {
      refuseUnknownPath(responder);
    }
  }

  private void handleJob(String method, String pathBelowJobs, Responder responder) {
    int slash = pathBelowJobs.indexOf('/');
    if (slash < 0) {
      JobId job = new JobId(pathBelowJobs);
      handleOnly(GET, method, responder, () -> jobApi.poll(job, responder));
    } else if (pathBelowJobs.substring(slash).equals(CANCEL_SUFFIX)) {
      JobId job = new JobId(pathBelowJobs.substring(0, slash));
      handleOnly(POST, method, responder, () -> jobApi.cancel(job, responder));
    } else {
      refuseUnknownPath(responder);
    }
  }

  private static void handleOnly(
      String allowed, String method, Responder responder, Runnable handler) {
    if (method.equals(allowed)) {
      handler.run();
    } else {
      responder.respond(HttpStatus.METHOD_NOT_ALLOWED, JobCodec.writeError("method not allowed"));
    }
  }

  private static void refuseUnknownPath(Responder responder) {
    responder.respond(HttpStatus.NOT_FOUND, JobCodec.writeError("no such path"));
  }
}
