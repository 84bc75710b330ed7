import { type Histogram, build } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

const MAXIMUM_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [50, 90, 99, 99.9] as const

export type { Counter, Gauge }

/** Label values by label name. */
export type Labels = Readonly<Record<string, string>>

/** Metrics registry of one process, exposed in the Prometheus text format. */
export class Metrics {
  private readonly registry = new Registry()
  private readonly latencies: LatencyFamily[] = []

  static create (): Metrics {
    return new Metrics()
  }

  /** Registers a monotonically increasing counter. */
  counter (name: string, help: string, labelNames: readonly string[] = []): Counter {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  /** Registers a gauge; `collect` sets its value on each scrape. */
  gauge (name: string, help: string, labelNames: readonly string[], collect: (gauge: Gauge) => void): Gauge {
    return new Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect () {
        collect(this)
      }
    })
  }

  /** Registers a latency summary whose quantiles are computed from HDR histograms. */
  latency (name: string, help: string): LatencyFamily {
    const family = LatencyFamily.create(name, help)
    this.latencies.push(family)
    return family
  }

  /** Renders all metrics in the Prometheus text format. */
  async expose (): Promise<string> {
    const plain = await this.registry.metrics()
    return [plain, ...this.latencies.map((family) => family.expose())].join('\n')
  }
}

interface LatencySeries {
  readonly labels: Labels
  readonly histogram: Histogram
  sumMilliseconds: number
}

/** A latency summary with one HDR histogram per label set. */
export class LatencyFamily {
  private readonly series = new Map<string, LatencySeries>()

  private constructor (readonly name: string, private readonly help: string) {}

  static create (name: string, help: string): LatencyFamily {
    return new LatencyFamily(name, help)
  }

  record (labels: Labels, milliseconds: number): void {
    const series = this.seriesFor(labels)
    series.histogram.recordValue(toMicroseconds(milliseconds))
    series.sumMilliseconds += milliseconds
  }

  expose (): string {
    const lines = [`# HELP ${this.name} ${this.help}`, `# TYPE ${this.name} summary`]
    for (const { labels, histogram, sumMilliseconds } of this.series.values()) {
      for (const quantile of QUANTILES) {
        const identity = formatLabels({ ...labels, quantile: String(quantile / 100) })
        lines.push(`${this.name}${identity} ${histogram.getValueAtPercentile(quantile) / 1_000_000}`)
      }
      lines.push(`${this.name}_sum${formatLabels(labels)} ${sumMilliseconds / 1000}`)
      lines.push(`${this.name}_count${formatLabels(labels)} ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }

  private seriesFor (labels: Labels): LatencySeries {
    const identity = formatLabels(labels)
    const existing = this.series.get(identity)
    if (existing !== undefined) return existing
    const created = { labels, histogram: createLatencyHistogram(), sumMilliseconds: 0 }
    this.series.set(identity, created)
    return created
  }
}

/** Creates an HDR histogram for values from 1 microsecond to 10 minutes. */
export function createLatencyHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    autoResize: true
  })
}

/** Converts milliseconds to microseconds, rounded and clamped to the histogram's range. */
export function toMicroseconds (milliseconds: number): number {
  return Math.min(MAXIMUM_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000)))
}

function formatLabels (labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`)
  return parts.length === 0 ? '' : `{${parts.join(',')}}`
}

function escapeLabel (value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}
