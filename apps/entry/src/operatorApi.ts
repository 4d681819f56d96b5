import { Hono } from "hono";

/** What an entry tells operators of itself. */
export interface OperatorView {
  status(): Record<string, unknown>;
  isReady(): boolean;
  /** Starts a planned stop; false when one is under way. */
  drain(stopPlan: string | undefined): boolean;
}

/** The HTTP interface for operators and the balancer's checks. */
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
