import { Hono } from "hono";

/** State and operations of an entry host that operators can use. */
export interface OperatorView {
  status(): Record<string, unknown>;
  isReady(): boolean;
  /**
   * Starts a planned stop; false if the plan is unknown or a stop is running.
   */
  drain(stopPlan: string | undefined): boolean;
}

/** Creates the HTTP routes for operators and health checks. */
export function createOperatorRoutes(view: OperatorView): Hono {
  const app = new Hono();
  app.get("/health", (context) => context.json({ status: "ok" }));
  app.get("/ready", (context) => {
    const isReady = view.isReady();
    return context.json({ ready: isReady }, isReady ? 200 : 503);
  });
  app.get("/status", (context) => context.json(view.status()));
  app.post("/drain", async (context) => {
    const body: unknown = await context.req.json().catch(() => ({}));
    const { stopPlan } = (body ?? {}) as { stopPlan?: unknown };
    const isStarted = view.drain(
      typeof stopPlan === "string" ? stopPlan : undefined,
    );
    return context.json({ started: isStarted }, isStarted ? 202 : 409);
  });
  return app;
}
