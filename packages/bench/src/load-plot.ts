import type { CustomerResult } from './load-report.ts'

const WIDTH = 640
const ROW_HEIGHT = 28
const LABEL_WIDTH = 160
const BAR_HEIGHT = 16
const QUANTILE = '99'

/** Renders an SVG bar chart of the 99th percentile latency of each customer, in milliseconds. */
export function plotLoadResults (results: readonly CustomerResult[]): string {
  const highest = Math.max(1, ...results.map((result) => result.milliseconds[QUANTILE] ?? 0))
  const rows = results.map((result, index) => plotRow(result, index, highest))
  const height = (results.length + 1) * ROW_HEIGHT
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    '<text x="4" y="16">99th percentile in milliseconds</text>',
    ...rows,
    '</svg>',
    ''
  ].join('\n')
}

function plotRow (result: CustomerResult, index: number, highest: number): string {
  const value = result.milliseconds[QUANTILE] ?? 0
  const top = (index + 1) * ROW_HEIGHT
  const length = Math.round((WIDTH - LABEL_WIDTH - 80) * value / highest)
  const baseline = top + BAR_HEIGHT - 4
  return [
    `<text x="4" y="${baseline}">${escapeXml(result.customer)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${top}" width="${length}" height="${BAR_HEIGHT}" fill="#4477aa"/>`,
    `<text x="${LABEL_WIDTH + length + 6}" y="${baseline}">${value.toFixed(2)}</text>`
  ].join('')
}

function escapeXml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;')
}
