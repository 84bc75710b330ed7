import { createLatencyHistogram, toMicroseconds } from '@hickoryspoke/telemetry/metrics'

const QUANTILES = [50, 90, 99, 99.9] as const

/** Outcome of one request of a load run. */
export interface LoadOutcome {
  readonly customer: string
  readonly status: number
  /** Latency from the scheduled start to the last byte, so that time in the client queue counts. */
  readonly milliseconds: number
  /** Value of the `Hickoryspoke-Run` header, if present. */
  readonly run: string | undefined
}

/** Results of one customer. */
export interface CustomerResult {
  readonly customer: string
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  readonly milliseconds: Readonly<Record<string, number>>
}

/** Collects outcomes by customer. Status 0 means that the connection failed. */
export class LoadRecorder {
  private readonly customers = new Map<string, CustomerRecord>()

  static create (): LoadRecorder {
    return new LoadRecorder()
  }

  record (outcome: LoadOutcome): void {
    const record = this.customerRecord(outcome.customer)
    const status = String(outcome.status)
    record.statuses[status] = (record.statuses[status] ?? 0) + 1
    record.requests += 1
    if (outcome.status >= 200 && outcome.status < 300) record.histogram.recordValue(toMicroseconds(outcome.milliseconds))
  }

  results (): CustomerResult[] {
    return [...this.customers].map(([customer, { requests, statuses, histogram }]) => ({
      customer,
      requests,
      statuses,
      milliseconds: Object.fromEntries(QUANTILES.map((quantile) => [String(quantile), histogram.getValueAtPercentile(quantile) / 1000]))
    }))
  }

  private customerRecord (customer: string): CustomerRecord {
    const known = this.customers.get(customer)
    if (known !== undefined) return known
    const created = { requests: 0, statuses: {}, histogram: createLatencyHistogram() }
    this.customers.set(customer, created)
    return created
  }
}

interface CustomerRecord {
  requests: number
  readonly statuses: Record<string, number>
  readonly histogram: ReturnType<typeof createLatencyHistogram>
}

/** Formats the results as text, one line per customer. */
export function formatLoadResults (results: readonly CustomerResult[]): string {
  const lines = results.map((result) => {
    const statuses = Object.entries(result.statuses).map(([status, count]) => `${status}: ${count}`).join(', ')
    const quantiles = Object.entries(result.milliseconds).map(([quantile, value]) => `p${quantile} ${value.toFixed(2)} ms`).join(', ')
    return `${result.customer}: ${result.requests} requests (${statuses}); ${quantiles}`
  })
  return lines.join('\n') + '\n'
}
