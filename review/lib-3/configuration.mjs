/** Configurations as the operator writes them. */

const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }

/** `routes` lists prefixes with their service and what differs from the usual route; `services` lists names. */
export function configurationOf (version, { routes, services, tenants }) {
  return {
    config_version: version.toString(16).padStart(8, '0'),
    routes: routes.map((route) => ({
      name: `r${route.prefix.replaceAll('/', '-')}`,
      host: 'shop.example',
      route_type: 'safe',
      timeout_ms: 2000,
      target_latency_ms: 300,
      priority: 1,
      max_attempts: 2,
      ...route
    })),
    services: services.map((name) => ({
      name, health_path: '/health', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 6.7
    })),
    tenants,
    limits: LIMITS
  }
}
