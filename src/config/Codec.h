#pragma once

#include "config/Configuration.h"
#include <nlohmann/json.hpp>

namespace eelgrassford::config {

void to_json(nlohmann::json& json, const Service& service);
void from_json(const nlohmann::json& json, Service& service);
void to_json(nlohmann::json& json, const Organisation& organisation);
void from_json(const nlohmann::json& json, Organisation& organisation);
void to_json(nlohmann::json& json, const Model& model);
void from_json(const nlohmann::json& json, Model& model);
void to_json(nlohmann::json& json, const Rule& rule);
void from_json(const nlohmann::json& json, Rule& rule);

}
