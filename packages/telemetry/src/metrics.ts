import { type Histogram, build } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

const HIGHEST_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [50, 90, 99, 99.9] as const

export type { Counter, Gauge }

/** Names of labels with their values. */
export type Labels = Readonly<Record<string, string>>

/** Counters, gauges and latency distributions of one process, in the Prometheus text format. */
export class Metrics {
  private readonly registry = new Registry()
  private readonly latencies: LatencyFamily[] = []

  static create (): Metrics {
    return new Metrics()
  }

  /** A number that only grows. */
  counter (name: string, help: string, labelNames: readonly string[] = []): Counter {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  /** A number that is read when metrics are asked for. */
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

  /** A latency distribution; quantiles come from HDR histograms. */
  latency (name: string, help: string): LatencyFamily {
    const family = LatencyFamily.create(name, help)
    this.latencies.push(family)
    return family
  }

  /** All metrics as text. */
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

/** HDR histograms of one latency, one for each set of labels. */
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
    const known = this.series.get(identity)
    if (known !== undefined) return known
    const created = { labels, histogram: createLatencyHistogram(), sumMilliseconds: 0 }
    this.series.set(identity, created)
    return created
  }
}

/** An HDR histogram of microseconds up to ten minutes. */
export function createLatencyHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    autoResize: true
  })
}

/** Milliseconds as whole microseconds within the range of the histogram. */
export function toMicroseconds (milliseconds: number): number {
  return Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000)))
}

function formatLabels (labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`)
  return parts.length === 0 ? '' : `{${parts.join(',')}}`
}

function escapeLabel (value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}
